package org.knapweedmount.core.entry;

/** What the entry does with a task at present; the steps between the phases are in {@code task.json}. */
enum TaskPhase {
    /** It waits for a lease. */
    QUEUED(false),
    /** It was sent to a linked agent. */
    SENT(true),
    /** It was sent to an agent whose link was lost, and the agent has not told yet what became of it. */
    AWAITING_AGENT(true),
    /** It has a result. */
    ENDED(false);

    private final boolean inFlight;

    TaskPhase(boolean inFlight) {
        this.inFlight = inFlight;
    }

    /** Tells whether an agent may be running the task. */
    boolean inFlight() {
        return inFlight;
    }
}
