package org.knapweedmount.core.worker;

/** Counters of what an agent observes of runs: those that it has not seen end, and what it learns of the others. */
public enum RunCounter {
    /** Runs of an unresponsive worker whose lease has expired by the worker's clock. */
    LAPSED_BY_CLOCK,
    /** Runs that ended because a later incarnation of the worker announced itself. */
    ENDED_BY_NEW_INCARNATION,
    /** Listings of a run, or of its end, that the agent does not hold. */
    FOREIGN,
    /** Announcements that are not the worker's, or cannot be parsed. */
    FOREIGN_ANNOUNCEMENTS,
    /** Start orders without an answer, which may be executed late. */
    STARTS_UNANSWERED,
    /** Incarnations of the worker that a list has shown before their announcement. */
    RESTARTS_LISTED,
    /** Pairs of kinds of tasks that were found to slow each other down. */
    PAIRS_FOUND,
    /** Pairs of kinds of tasks that are no longer known to slow each other down. */
    PAIRS_FORGOTTEN,
    /** Times that the worker was closed, or closed for longer, because of its health. */
    HEALTH_CLOSINGS,
    /** Health checks of a closed worker. */
    HEALTH_CHECKS,
    /** Runs that were started although the worker was closed, because too few workers of the service were open. */
    STARTS_WHILE_CLOSED,
    /** Runs that were stopped because the worker leaves before they can end. */
    STOPPED_BEFORE_DEPARTURE
}
