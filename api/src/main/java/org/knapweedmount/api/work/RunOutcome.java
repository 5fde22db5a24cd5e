package org.knapweedmount.api.work;

/** How a run ended. */
public enum RunOutcome {
    /** The task completed its work. */
    DONE(true),
    /** The task or its worker failed. */
    FAILED(true),
    /** The run was stopped on request. */
    STOPPED(true),
    /** The lease of the run expired, or its worker was lost. */
    LAPSED(true),
    /** The run was not started and never will be. */
    REFUSED(false),
    /** The run was not started because the worker has already received this or a higher run number for the task. */
    OUTDATED(false);

    private final boolean mayHaveRun;

    RunOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether the run may have been started.
     *
     * @return false if the run was certainly not started
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
