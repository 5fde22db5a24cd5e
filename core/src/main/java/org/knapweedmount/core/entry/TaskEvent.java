package org.knapweedmount.core.entry;

/** The events that change the phase of a task. */
enum TaskEvent {
    /** It was sent to an agent. */
    SENT,
    /** Its agent did not start it and never will. */
    DENIED,
    /** The link to its agent was lost. */
    LINK_LOST,
    /** Its agent reported over a new link that it is running. */
    FOUND_RUNNING,
    /** It has ended and is retried at another agent. */
    RETRIED,
    /** It has its result. */
    ENDED
}
