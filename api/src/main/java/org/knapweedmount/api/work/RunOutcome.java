package org.knapweedmount.api.work;

/** How a run ended. */
public enum RunOutcome {
    /** The task has done its work. */
    DONE(true),
    /** The task or its worker failed. */
    FAILED(true),
    /** The run was stopped by an order. */
    STOPPED(true),
    /** The run's lease ended, or its worker went away. */
    LAPSED(true),
    /** The run never started, and never will. */
    REFUSED(false),
    /** The run never started because the worker has seen a run of the task with this number or a higher one. */
    OUTDATED(false);

    private final boolean mayHaveRun;

    RunOutcome(boolean started) {
        this.mayHaveRun = started;
    }

    /**
     * Tells whether the run may have done work.
     *
     * @return false if it certainly did nothing
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
