package org.knapweedmount.core.worker;

/** What an agent concludes from that a run has ended or will never start. */
enum RunEndEvidence {
    /** The worker listed the end. */
    LISTED,
    /** The worker confirmed the stop order, and a list requested after that does not contain the run. */
    ABSENT,
    /** The worker's clock has passed the latest lease expiry. */
    CLOCK,
    /** A later incarnation of the worker announced itself. */
    NEW_INCARNATION,
    /** The worker gave notice that it has left. */
    WORKER_LEFT,
    /** The reply to the start order says that nothing was done. */
    START_REPLY,
    /** The reply to the stop order says that the incarnation has ended. */
    STOP_REPLY
}
