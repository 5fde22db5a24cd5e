package org.knapweedmount.api;

/** Reports text from outside that does not have the form that its reader accepts. */
public final class ParseException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what was read and what is allowed, fit to be shown to the sender
     */
    public ParseException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what was read and what is allowed, fit to be shown to the sender
     * @param cause the failure that was met while reading
     */
    public ParseException(String message, Throwable cause) {
        super(message, cause);
    }
}
