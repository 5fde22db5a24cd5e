package org.knapweedmount.daemon.runtime;

/** Reports that a process could not be started, for instance because a port is in use. */
public final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed, fit to be shown to an operator
     * @param cause the failure
     */
    public StartException(String message, Throwable cause) {
        super(message, cause);
    }
}
