package org.knapweedmount.core.dispatch;

/** Counters of events at an entry that can precede a second run of a task. */
public enum DispatchCounter {
    /** Runs that the agent's list on a new link does not contain. */
    RUNS_LOST_ON_NEW_LINK,
    /** Jobs that another entry owns as well. */
    JOBS_HELD_TWICE,
    /** Resubmissions that waited for the end of an earlier submission, here or at another entry. */
    RESUBMISSIONS_WAITED,
    /** Stop orders that were repeated because the end of a run had not been reported. */
    STOPS_REPEATED,
    /** Data centres that the operator has closed, as far as this entry has learned. */
    DATA_CENTRES_CLOSED,
    /** Data centres that the operator has reopened, as far as this entry has learned. */
    DATA_CENTRES_REOPENED,
    /** Rows of the operator's table whose key cannot be read. */
    ORDERS_UNREADABLE
}
