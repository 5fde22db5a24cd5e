package org.knapweedmount.core.entry;

/** The phase of a task at its entry; the transitions are in {@code task.json}. */
enum TaskPhase {
    /** It waits for a lease. */
    QUEUED(false),
    /** It was sent to a linked agent. */
    SENT(true),
    /** It was sent to an agent whose link was lost, and the agent has not reported its state since. */
    AWAITING_AGENT(true),
    /** It has a result. */
    ENDED(false);

    private final boolean inFlight;

    TaskPhase(boolean inFlight) {
        this.inFlight = inFlight;
    }

    /** Returns whether an agent may be running the task. */
    boolean inFlight() {
        return inFlight;
    }
}
