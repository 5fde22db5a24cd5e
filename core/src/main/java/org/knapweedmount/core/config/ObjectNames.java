package org.knapweedmount.core.config;

import java.util.regex.Pattern;

/** The form of the names of services, kinds and teams. */
public final class ObjectNames {
    /** What a name may look like, fit to be shown to whoever sent another one. */
    public static final String ALLOWED = "1 to 64 letters, digits, dots, hyphens and underscores";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private ObjectNames() {}

    /**
     * Tells whether a text can name an object.
     *
     * <p>No name holds a slash, so that a team and a key joined by one can be told apart again.
     *
     * @param text the text to examine
     * @return true if it is allowed
     */
    public static boolean isValid(String text) {
        return NAME.matcher(text).matches();
    }
}
