package org.knapweedmount.api;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An incarnation of a process: the time from one start to its end.
 *
 * <p>A restarted process keeps its name but has a new nonce, so that messages to the previous incarnation are not
 * mistaken for messages to the new one, even if an address is reused.
 *
 * <p>The text form is NAME~NONCE, for instance {@code entry-1~00000000000000ff}; the nonce has 16 hexadecimal digits.
 *
 * @param process the name of the process in its settings: 1 to 64 letters, digits and hyphens
 * @param nonce a random number generated when the process started
 */
public record Incarnation(String process, long nonce) implements Comparable<Incarnation> {
    private static final int MAX_NAME_LENGTH = 64;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9-]{1," + MAX_NAME_LENGTH + "}");
    private static final Pattern TEXT = Pattern.compile("(" + NAME.pattern() + ")~([0-9a-f]{16})");
    private static final int HEXADECIMAL = 16;

    /**
     * Checks that the process name is valid.
     *
     * @throws IllegalArgumentException if the name is empty, too long or has other characters
     */
    public Incarnation {
        Objects.requireNonNull(process, "process");
        if (!isName(process)) {
            throw new IllegalArgumentException("process name '" + process + "' does not match " + NAME);
        }
    }

    /**
     * Returns whether a text is a valid process name.
     *
     * @param text the text to check
     * @return true if it has 1 to 64 letters, digits and hyphens
     */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /**
     * Parses the text form.
     *
     * @param text for instance {@code entry-1~00000000000000ff}
     * @return the incarnation
     * @throws ParseException if the text has another form
     */
    public static Incarnation parse(String text) throws ParseException {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            throw new ParseException(
                    "'" + text + "' is not an incarnation; expected NAME~NONCE with a nonce of 16 hexadecimal digits");
        }
        return new Incarnation(matcher.group(1), Long.parseUnsignedLong(matcher.group(2), HEXADECIMAL));
    }

    @Override
    public int compareTo(Incarnation other) {
        int byName = process.compareTo(other.process);
        return byName != 0 ? byName : Long.compareUnsigned(nonce, other.nonce);
    }

    @Override
    public String toString() {
        return process + "~" + String.format("%016x", nonce);
    }
}
