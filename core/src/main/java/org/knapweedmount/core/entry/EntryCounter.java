package org.knapweedmount.core.entry;

/** The counters of an entry; each name becomes a metric name. */
public enum EntryCounter {
    /** Submissions accepted. */
    ACCEPTED,
    /** Submissions that joined an earlier one with the same ID. */
    JOINED,
    /** Submissions refused. */
    REFUSED,
    /** Submissions that ended complete. */
    COMPLETE,
    /** Submissions that ended failed. */
    FAILED,
    /** Submissions that ended not-run after they had been accepted. */
    NOT_RUN,
    /** Submissions that ended unknown. */
    UNKNOWN,
    /** Start messages sent. */
    STARTS,
    /** Time that started tasks had waited in their queue, in µs. */
    QUEUED_MICROS,
    /** Time between the start message and the result of tasks that ended, in µs. */
    AWAY_MICROS,
    /** The part of {@link #AWAY_MICROS} during which the tasks held a slot, as reported by their agents, in µs. */
    HELD_MICROS,
    /** Starts that were not carried out, as reported by the agent. */
    STARTS_REFUSED,
    /** Retries of repeatable requests. */
    RETRIES,
    /** Demand messages sent. */
    DEMANDS,
    /** Leases received. */
    LEASES,
    /** Leases released. */
    RELEASES,
    /** Requests relayed to the entry that issued the ID. */
    RELAYS,
    /** Submissions of other entries settled by asking the agents. */
    SETTLEMENTS
}
