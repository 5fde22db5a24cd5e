package org.knapweedmount.core.dispatch;

import java.util.concurrent.TimeUnit;

import org.knapweedmount.core.worker.WorkerTimings;

/** Intervals and bounds of a {@link Dispatcher}. */
final class DispatchTimings {
    /** The interval between two renewals of a lease; several fit into one lease. */
    static final long LEASE_RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * The interval at which an agent is told again which runs it has to stop; several round trips and the time that a
     * worker takes to end a run.
     */
    static final long STOP_REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The interval at which an entry without a link is asked again for a job; several round trips by way of an agent. */
    static final long YIELD_REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** The minimum interval between two checks which of many waiting jobs other entries may hold. */
    static final long MIN_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** The minimum interval between two requests to an entry without a link; each has all jobs that are asked for. */
    static final long YIELD_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    /**
     * How long a request that is refused anyway waits for the answers of other entries, so that it can be said not to have
     * run; several round trips by way of an agent.
     */
    static final long MAX_REFUSAL_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The time without a report after which every run ordered from an agent must have ended. */
    static final long MAX_RUN_END_NANOS = TimeUnit.MILLISECONDS.toNanos(WorkerTimings.MAX_RUN_END_MILLIS);

    /** The interval at which the slowdowns of workers are compared; agents report them less often. */
    static final long SLOWDOWN_UPDATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The interval after which a demand is sent again even without a significant change; agents age it themselves. */
    static final long DEMAND_RESEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The minimum interval between two demands to an agent that differ by a change; several round trips. */
    static final long DEMAND_CHANGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The interval after which twice as many agents are told of queued tasks; short compared with the 60 ms that short jobs may wait. */
    static final long DEMAND_WIDENING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * The minimum interval between two job ownership updates; well below the 1.3 s after which callers resubmit a job.
     */
    static final long MIN_UPDATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * The time after the loss of the link to an entry by which every lease of its runs must have ended if it has
     * stopped.
     *
     * <p>Each lease counts from an agent's timestamp, which the entry received before it stopped and so before the loss
     * of the link was noticed; a message that was still under way at that time cannot extend it. The time since then is
     * bounded by {@link WorkerTimings#MAX_RUN_END_MILLIS}, which includes the drift of clocks. It does not cover an
     * entry that stays in reach of its agents: {@link LostEntries} counts from the last word that it is alive.
     */
    static final long LOST_ENTRY_NANOS = MAX_RUN_END_NANOS;

    /** How long an agent is remembered whose link was lost; longer than any lease of a run there. */
    static final long LOST_AGENT_REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** How long a cancellation waits for the answers of other entries; several round trips of a slow link. */
    static final long CANCEL_REPLY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long a cancelled ID is remembered; several times what callers wait for a job and its resubmissions. */
    static final long CANCEL_REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(60);

    /**
     * The maximum age of the knowledge of the jobs of a linked entry when a request is admitted.
     *
     * <p>A caller submits a job again 1.3 s after it has lost the earlier request, so the entry that has read that one
     * did so at least 1.3 s ago, less the time for which it may stand still unnoticed ({@link #PAUSE_NANOS}) and the time
     * that a request may wait for its decision ({@link #LATE_DECISION_NANOS}).
     */
    static final long MAX_KNOWLEDGE_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The interval between two probes of a linked entry; several fit into the maximum age of what is known. */
    static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The minimum interval between two probes of a linked entry; all requests that wait share the next one. */
    static final long MIN_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * The time without a tick from which requests are taken to be read late, so that other entries have to be asked for
     * them; with {@link #LATE_DECISION_NANOS} it is below the rest of the 1.3 s after which callers resubmit a job.
     */
    static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** The time between the reading of a request and its decision from which other entries have to be asked for it. */
    static final long LATE_DECISION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The time without a message after which the other end closes a link to this entry. */
    static final long LINK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * The delay from which a request may be read when its job has been submitted to another entry, which happens 1.3 s
     * later at the earliest; the rest is left for the exchange of ownership updates.
     */
    static final long LATE_READ_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * How long requests are held after a stall; by then the ends of connections are read that were closed meanwhile.
     */
    static final long STALL_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private DispatchTimings() {}
}
