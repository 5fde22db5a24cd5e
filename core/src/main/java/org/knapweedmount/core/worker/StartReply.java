package org.knapweedmount.core.worker;

/** The reply of a worker to a start order. */
public enum StartReply {
    /** The run is present. */
    STARTED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The worker has seen the end of this run or of a later one of the task. */
    OUTDATED,
    /** The worker refused for another reason and did nothing. */
    REFUSED,
    /** The worker currently refuses all runs and did nothing. */
    UNHEALTHY,
    /** Another incarnation of the worker answered and did nothing. */
    OTHER_LIFE,
    /** The order could not be sent, so nothing was done. */
    UNREACHABLE,
    /** No reply arrived; the order may have been executed, or may still be. */
    UNANSWERED
}
