package org.knapweedmount.core.worker;

/** The state of a run at the agent of its worker. */
enum RunState {
    /** The start order is in flight. */
    STARTING(false),
    /** The worker has confirmed the start. */
    RUNNING(false),
    /** The run has to end; the stop order is in flight or has to be sent again. */
    STOPPING(true),
    /** The worker has confirmed the stop order; the run ends when the worker's next list shows it. */
    STOPPED(true);

    private final boolean ending;

    RunState(boolean ending) {
        this.ending = ending;
    }

    /** Returns whether the run has been ordered to stop. */
    boolean ending() {
        return ending;
    }
}
