package org.knapweedmount.api;

import java.util.HexFormat;
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
    private static final String NAME = "[A-Za-z0-9-]{1," + MAX_NAME_LENGTH + "}";
    private static final Pattern TEXT = Pattern.compile("(" + NAME + ")~([0-9a-f]{16})");
    private static final int HEXADECIMAL = 16;
    private static final HexFormat HEX = HexFormat.of();

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
        if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (!isNameCharacter(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isNameCharacter(char character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || character == '-';
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

    // Incarnations are keys of many maps; the generated methods would call method handles.
    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation incarnation
                && nonce == incarnation.nonce
                && process.equals(incarnation.process);
    }

    @Override
    public int hashCode() {
        return 31 * process.hashCode() + Long.hashCode(nonce);
    }

    @Override
    public String toString() {
        return process + "~" + HEX.toHexDigits(nonce);
    }
}
