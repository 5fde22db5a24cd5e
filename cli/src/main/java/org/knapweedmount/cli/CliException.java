package org.knapweedmount.cli;

/** Ends a command early with an error for the user. */
final class CliException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CliException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    CliException(ExitCode exitCode, String message, Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    /** Returns how the process ends. */
    ExitCode exitCode() {
        return exitCode;
    }
}
