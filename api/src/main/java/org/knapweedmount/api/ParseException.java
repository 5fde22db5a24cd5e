package org.knapweedmount.api;

/** Thrown when external input does not have the expected form. */
public final class ParseException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what was found and what is allowed, in words that may be shown to the sender
     */
    public ParseException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what was found and what is allowed, in words that may be shown to the sender
     * @param cause the underlying failure
     */
    public ParseException(String message, Throwable cause) {
        super(message, cause);
    }
}
