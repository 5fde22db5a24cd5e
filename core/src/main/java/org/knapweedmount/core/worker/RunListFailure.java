package org.knapweedmount.core.worker;

/** Why a worker's list was not to be had. */
public enum RunListFailure {
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** Another life of the worker answered. */
    OTHER_LIFE,
    /** The call could not be sent. */
    UNREACHABLE,
    /** No answer came in time. */
    UNANSWERED
}
