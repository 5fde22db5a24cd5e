package org.knapweedmount.core.config;

import java.util.regex.Pattern;

/** Syntax of the names of services, kinds and teams. */
public final class ObjectNames {
    /** Description of a valid name for error messages. */
    public static final String ALLOWED = "1 to 64 letters, digits, dots, hyphens and underscores";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private ObjectNames() {}

    /**
     * Returns whether a string is a valid name.
     *
     * <p>Names do not contain a slash, so that a team and a key joined by a slash can be separated unambiguously.
     *
     * @param text the string to check
     * @return true if it is a valid name
     */
    public static boolean isValid(String text) {
        return NAME.matcher(text).matches();
    }
}
