package org.knapweedmount.wire;

/** Thrown when bytes are not a valid message, or when a message exceeds the limits of the format. */
public final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what was found and what was expected
     */
    public FrameException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what was found and what was expected
     * @param cause the underlying failure
     */
    public FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
