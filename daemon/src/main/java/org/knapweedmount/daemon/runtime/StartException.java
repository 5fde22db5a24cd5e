package org.knapweedmount.daemon.runtime;

/** Thrown if a process cannot be started, for instance because a port is in use. */
public final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed, for display to an operator
     * @param cause the cause of the failure
     */
    public StartException(String message, Throwable cause) {
        super(message, cause);
    }
}
