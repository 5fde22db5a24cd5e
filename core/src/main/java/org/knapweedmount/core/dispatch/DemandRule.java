package org.knapweedmount.core.dispatch;

import java.util.Comparator;
import java.util.List;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ResourceDemand;

/**
 * Decides when an entry sends its demand to an agent.
 *
 * <p>Load pattern: while a queue exists, every start changes the demand. Agents age a demand themselves, so an update
 * is sent only when a demand appears or disappears, when its smallest task shrinks or its deadline moves forward, which
 * is told at a limited rate, and otherwise from time to time.
 */
final class DemandRule {
    /**
     * The virtual deadline added per running core, in microseconds; the few hundred cores of a site add about a second.
     */
    private static final long DEADLINE_MICROS_PER_CORE = 5_000;

    /** The virtual deadline added for jobs that are already late, in microseconds; later than any job expires. */
    private static final long LATE_JOB_DEADLINE_MICROS = 60_000_000;

    /** The advance of the virtual deadline that is sent at once, in microseconds; equals ten running cores. */
    private static final long MIN_DEADLINE_ADVANCE_MICROS = 50_000;

    private DemandRule() {}

    /** Returns the demand of the queued jobs of a service. */
    static ResourceDemand demand(
            List<TrackedJob> queued, QueueShares shares, Resources capacity, long backlogCoreMillis, long nowNanos) {
        if (queued.isEmpty()) {
            return ResourceDemand.NONE;
        }
        return new ResourceDemand(
                queued.size(),
                virtualDeadlineMicros(queued.get(0), shares, nowNanos),
                smallestNeed(queued, shares, capacity),
                backlogCoreMillis);
    }

    /**
     * Returns the virtual deadline of an entry's demand, relative to now, in microseconds.
     *
     * <p>All entries compute it alike: the demand whose first job belongs to the queue with the least running work
     * comes first, and late jobs come last.
     */
    static long virtualDeadlineMicros(TrackedJob first, QueueShares shares, long nowNanos) {
        long micros = (long)
                (DEADLINE_MICROS_PER_CORE * shares.cores(first.request().queue().name()));
        return JobOrder.isPreferred(first, nowNanos) ? micros : micros + LATE_JOB_DEADLINE_MICROS;
    }

    /**
     * Returns whether a queue may order runs from a worker without an offer: while a demand is outstanding, only within
     * its equal share.
     */
    static boolean mayOrderWithoutOffer(TrackedTask task, WorkerView view, QueueShares shares) {
        return view.sentDemand().isEmpty()
                || !shares.exceedsEqualShare(task.job().request().queue().name());
    }

    /** Returns the smallest resources that any queued task fits into, so that no usable capacity stays idle. */
    static Resources smallestNeed(List<TrackedJob> queued, QueueShares shares, Resources capacity) {
        return queued.stream()
                .flatMap(job -> job.tasks().stream())
                .filter(task -> task.state() == TaskState.QUEUED)
                .map(task -> shares.withHeadroom(task, capacity))
                .min(Comparator.comparingInt(Resources::milliCores))
                .orElse(Resources.NONE);
    }

    static boolean shouldSend(WorkerView view, ResourceDemand demand, long nowNanos) {
        if (view.sentDemand().isEmpty() || demand.queuedTasks() == 0) {
            boolean hasDemand = demand.queuedTasks() > 0;
            return view.sentDemand().isPresent() != hasDemand;
        }
        ResourceDemand lastSent = view.sentDemand().get();
        boolean smallerTask =
                demand.smallestTask().milliCores() < lastSent.smallestTask().milliCores();
        boolean earlierDeadline =
                demand.virtualDeadlineMicros() + MIN_DEADLINE_ADVANCE_MICROS < lastSent.virtualDeadlineMicros();
        long intervalNanos = smallerTask || earlierDeadline
                ? DispatchTimings.DEMAND_CHANGE_INTERVAL_NANOS
                : DispatchTimings.DEMAND_RESEND_INTERVAL_NANOS;
        return nowNanos - view.demandSentNanos() >= intervalNanos;
    }
}
