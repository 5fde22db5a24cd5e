package org.knapweedmount.standins.executor;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

/** Parses resources written as {@code MILLICORES,MEGABYTES,ACCELERATORS}. */
public final class ResourcesParser implements IStringConverter<Resources> {
    private static final Pattern TEXT = Pattern.compile("(\\d{1,9}),(\\d{1,9}),(\\d{1,9})");

    /**
     * Parses resources.
     *
     * @param text the text, for instance {@code 16000,32000,0}
     * @return the resources
     * @throws ParseException if the text is malformed
     */
    public static Resources parse(String text) throws ParseException {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            throw new ParseException("'" + text + "' does not have the form MILLICORES,MEGABYTES,ACCELERATORS");
        }
        return new Resources(
                Integer.parseInt(matcher.group(1)),
                Integer.parseInt(matcher.group(2)),
                Integer.parseInt(matcher.group(3)));
    }

    @Override
    public Resources convert(String text) {
        try {
            return parse(text);
        } catch (ParseException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }
}
