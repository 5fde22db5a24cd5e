package org.knapweedmount.core.dispatch;

import java.util.Comparator;
import java.util.List;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ResourceDemand;

/**
 * Decides when an agent is told what an entry has queued.
 *
 * <p>Load pattern: with a queue, each start changes the demand. Agents know how a demand ages, so that they are told anew
 * only when there is a demand at all or none any more, when it is for less room or comes sooner, and else from time to
 * time.
 */
final class DemandRule {
    /** How much later a demand comes for each core under way; a whole site has some hundred cores, a second's worth. */
    private static final long MICROS_PER_CORE = 5_000;

    /** How much later the demand of late jobs comes; longer than any job is of use. */
    private static final long LATE_MICROS = 60_000_000;

    /** How much sooner a demand has to come in the order to be told at once; ten cores under way. */
    private static final long SOONER_MICROS = 50_000;

    private DemandRule() {}

    /**
     * Returns how long an entry's demand may be passed by newer ones of other entries, in microseconds.
     *
     * <p>All entries order their demands alike: the one whose next job is of the queue with the least work under way comes
     * first, and jobs that are late come last.
     */
    static long orderMicros(WorkJob first, QueueShares shares, long nowNanos) {
        long micros =
                (long) (MICROS_PER_CORE * shares.cores(first.request().queue().name()));
        return JobOrder.isPreferred(first, nowNanos) ? micros : micros + LATE_MICROS;
    }

    /** Tells whether a queue may order runs from a worker without an offer: where a demand waits, only within its share. */
    static boolean mayOrder(WorkTask task, WorkerView view, QueueShares shares) {
        return view.demanded().isEmpty()
                || !shares.exceeds(task.job().request().queue().name());
    }

    /** Returns the smallest room that any queued task may take, so that no room stays free that one fits into. */
    static Resources smallestNeed(List<WorkJob> queued, QueueShares shares, Resources capacity) {
        return queued.stream()
                .flatMap(job -> job.tasks().stream())
                .filter(task -> task.state() == TaskState.QUEUED)
                .map(task -> shares.withHeadroom(task, capacity))
                .min(Comparator.comparingInt(Resources::milliCores))
                .orElse(Resources.NONE);
    }

    static boolean tell(WorkerView view, ResourceDemand demand, long nowNanos) {
        if (view.demanded().isEmpty() || demand.queuedTasks() == 0) {
            boolean wants = demand.queuedTasks() > 0;
            return view.demanded().isPresent() != wants;
        }
        ResourceDemand told = view.demanded().get();
        boolean smaller =
                demand.smallestTask().milliCores() < told.smallestTask().milliCores();
        boolean sooner = demand.virtualDeadlineMicros() + SOONER_MICROS < told.virtualDeadlineMicros();
        return smaller || sooner || nowNanos - view.demandedNanos() >= DispatchTimes.DEMAND_NANOS;
    }
}
