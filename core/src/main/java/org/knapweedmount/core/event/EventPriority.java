package org.knapweedmount.core.event;

/** The priorities of an entry's events, the highest first. */
public enum EventPriority {
    /** What other entries ask, and ticks: the jobs of all entries wait for it. */
    ENTRY,
    /** What agents report: the jobs in work wait for it. */
    AGENT,
    /** What callers request: only new jobs wait for it. */
    CALLER
}
