package org.knapweedmount.core.worker;

/** What an agent concludes from that a run has ended or will never start. */
enum RunEndEvidence {
    /** The worker listed the end. */
    LISTED,
    /** The worker confirmed the stop order, and a list requested after that does not contain the run. */
    ABSENT,
    /** The worker's clock has passed the latest lease expiry; the worker is unresponsive, replaced or has left. */
    CLOCK,
    /** A list of a later incarnation with the same ID, requested with a higher fencing token, does not contain the run. */
    NEW_INCARNATION,
    /** The reply to the start order says that nothing was done. */
    START_REPLY
}
