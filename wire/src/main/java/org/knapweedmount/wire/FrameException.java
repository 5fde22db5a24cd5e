package org.knapweedmount.wire;

/** Reports bytes that are no message, or a message that is over the limits of the format. */
public final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong
     */
    public FrameException(String message) {
        super(message);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param message what is wrong
     * @param cause the failure that was met
     */
    public FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
