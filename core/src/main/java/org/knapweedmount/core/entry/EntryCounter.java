package org.knapweedmount.core.entry;

/** What an entry counts. */
public enum EntryCounter {
    /** Submissions accepted. */
    ACCEPTED,
    /** Submissions that joined an earlier one with the same id. */
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
    /** The part of the time away in which the tasks held a slot, as their agents tell, in µs. */
    HELD_MICROS,
    /** Starts that the agent did not carry out. */
    STARTS_REFUSED,
    /** Repeated runs of repeatable requests. */
    RETRIES,
    /** Demand messages sent. */
    DEMANDS,
    /** Leases received. */
    LEASES,
    /** Leases given back. */
    RELEASES,
    /** Requests relayed to the entry that issued the id. */
    RELAYS,
    /** Submissions of other entries settled by asking the agents. */
    SETTLEMENTS
}
