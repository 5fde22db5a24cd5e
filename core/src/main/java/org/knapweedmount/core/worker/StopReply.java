package org.knapweedmount.core.worker;

/** The reply of a worker to a stop order. */
public enum StopReply {
    /** The run is being stopped, or is not present and will never start. */
    CONFIRMED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** Another incarnation of the worker answered and did nothing. */
    OTHER_LIFE,
    /** No reply arrived. */
    UNANSWERED
}
