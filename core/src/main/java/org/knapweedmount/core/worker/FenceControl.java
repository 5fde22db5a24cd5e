package org.knapweedmount.core.worker;

/** Decides when the fencing token of a worker is raised, and logs it. */
final class FenceControl {
    private final WorkerOutput output;
    private final WorkerFence fence;
    private final CurrentWorker worker;
    private final ProcessStart start;
    private final EarlierWorkers earlierWorkers;
    private final RunEvents events;

    FenceControl(
            WorkerOutput output,
            WorkerFence fence,
            CurrentWorker worker,
            ProcessStart start,
            EarlierWorkers earlierWorkers,
            RunEvents events) {
        this.output = output;
        this.fence = fence;
        this.worker = worker;
        this.start = start;
        this.earlierWorkers = earlierWorkers;
        this.events = events;
    }

    /** Begins with an incarnation of a worker that has announced itself. */
    void begin(WorkerAnnouncement announcement, long nowNanos) {
        WorkerIncarnation incarnation = announcement.incarnation();
        long earlierToken = fence.token(incarnation);
        fence.begin(incarnation.id(), timeMillis(incarnation, nowNanos), nowNanos);
        events.fenceRaised(incarnation, "new-worker", earlierToken, fence);
    }

    /** Raises the token, so that no earlier order can be executed once the worker has answered a list. */
    void raise(String reason, long nowNanos) {
        long earlierToken = fence.token();
        fence.raise(timeMillis(worker.incarnation(), nowNanos), nowNanos);
        events.fenceRaised(worker.incarnation(), reason, earlierToken, fence);
    }

    /**
     * Lets the next list show whether the worker has seen a higher token than that of a refused start or stop, which may
     * have carried an earlier one.
     */
    void suspect(String reason, long nowNanos) {
        if (!fence.inPlace()) {
            return;
        }
        output.logEvent(
                "fence-suspected", "worker=" + worker.incarnation() + " reason=" + reason + " fence=" + fence.token());
        earlierWorkers.othersGaveOrders();
        fence.suspect(nowNanos);
    }

    /** Raises the token if the refused list carried the present one. */
    void listRefused(long sentNanos, long nowNanos) {
        if (!fence.covers(sentNanos)) {
            return;
        }
        earlierWorkers.othersGaveOrders();
        long refusedToken = fence.token();
        fence.raiseAfterRefusal(timeMillis(worker.incarnation(), nowNanos), nowNanos);
        events.fenceRaised(worker.incarnation(), "list-refused", refusedToken, fence);
    }

    private long timeMillis(WorkerIncarnation incarnation, long nowNanos) {
        return Math.max(incarnation.startMillis(), start.millisAt(nowNanos));
    }
}
