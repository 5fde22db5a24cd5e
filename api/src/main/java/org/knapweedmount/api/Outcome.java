package org.knapweedmount.api;

/** How a submission or a task ended, as reported to the caller. */
public enum Outcome {
    /** Every task ran, and the answer contains all results. */
    COMPLETE("complete", 200, true),
    /** At least one task ran and failed; the answer contains no partial results. */
    FAILED("failed", 502, true),
    /** No task was started, and no task of this submission will ever be started. */
    NOT_RUN("not-run", 503, false),
    /** Tasks may have run; whether they did is not known. */
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
     * Returns the name used in responses to callers.
     *
     * @return for instance {@code not-run}
     */
    public String text() {
        return text;
    }

    /**
     * Returns the HTTP status of an answer with this outcome for which there is no more specific status.
     *
     * @return an HTTP status code
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns whether an executor may have started a task of the submission.
     *
     * @return false only for {@link #NOT_RUN}
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
