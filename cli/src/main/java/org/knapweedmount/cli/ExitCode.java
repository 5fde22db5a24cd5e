package org.knapweedmount.cli;

import org.knapweedmount.api.Outcome;

/** The exit codes of the command-line tool; scripts rely on the numbers. */
public enum ExitCode {
    /** The command succeeded; a submission is complete. */
    OK(0, "carried out; the submission is complete"),
    /** The command line or a file named in it is invalid. */
    USAGE(2, "the command line or a file is not as expected"),
    /** The submission failed. */
    FAILED(3, "the submission failed"),
    /** No task of the submission was started. */
    NOT_RUN(4, "nothing was started"),
    /** It is not known whether anything was started or changed. */
    UNKNOWN(5, "it is not known whether anything was started or changed"),
    /** The entry could not be reached. */
    CANNOT_CONNECT(6, "the entry cannot be reached"),
    /** The entry refused the command, for instance a ticket whose number is too low. */
    REFUSED(7, "the entry refused, for instance a ticket whose number is too low"),
    /** The submission has not ended yet, or an awaited condition was not met in time. */
    PENDING(8, "the submission has not ended, or what was awaited did not come in time");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the exit code of an outcome.
     *
     * @param outcome the outcome of a submission
     * @return the exit code
     */
    public static ExitCode of(Outcome outcome) {
        return switch (outcome) {
            case COMPLETE -> OK;
            case FAILED -> FAILED;
            case NOT_RUN -> NOT_RUN;
            case UNKNOWN -> UNKNOWN;
        };
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the number
     */
    public int code() {
        return code;
    }

    /**
     * Returns the description of the exit code in the help text.
     *
     * @return a phrase
     */
    public String meaning() {
        return meaning;
    }
}
