package org.knapweedmount.cli;

/** Thrown to end a command with an exit code and a message for the user. */
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

    /** Returns the exit code of the process. */
    ExitCode exitCode() {
        return exitCode;
    }
}
