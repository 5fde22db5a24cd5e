package org.knapweedmount.core.worker;

/** Why the request for a worker's run list failed. */
public enum RunListFailure {
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** Another incarnation of the worker answered. */
    OTHER_LIFE,
    /** The call could not be sent. */
    UNREACHABLE,
    /** No answer came in time. */
    UNANSWERED
}
