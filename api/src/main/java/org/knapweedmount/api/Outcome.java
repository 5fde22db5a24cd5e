package org.knapweedmount.api;

/** How a submission or a task ended, as told to the caller. */
public enum Outcome {
    /** Every task ran and its whole result is in the answer. */
    COMPLETE("complete", 200, true),
    /** At least one task ran and failed; the answer has no result in part. */
    FAILED("failed", 502, true),
    /** Nothing was started, and nothing of this submission will ever be started. */
    NOT_RUN("not-run", 503, false),
    /** Something may have run; whether it did is not known. */
    UNKNOWN("unknown", 504, true);

    private final String text;
    private final int httpStatus;
    private final boolean mayHaveRun;

    Outcome(String text, int httpStatus, boolean mayHaveRun) {
        this.text = text;
        this.httpStatus = httpStatus;
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns the word used towards callers.
     *
     * @return for instance {@code not-run}
     */
    public String text() {
        return text;
    }

    /**
     * Returns the HTTP status of an answer with this outcome and no more specific status.
     *
     * @return an HTTP status code
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Tells whether an executor may have started something of the submission.
     *
     * @return false only for {@link #NOT_RUN}
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
