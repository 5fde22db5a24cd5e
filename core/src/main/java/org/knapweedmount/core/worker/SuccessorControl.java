package org.knapweedmount.core.worker;

import java.util.Optional;

/**
 * Puts a higher fencing token in place in the next incarnation of the worker, before it announces itself.
 *
 * <p>The incarnation is given no starts, because its capacity and its service may differ; its announcement opens it.
 */
final class SuccessorControl {
    private final WorkerOutput output;
    private final RunTable runs;
    private final CurrentWorker worker;
    private final WorkerFence fence;
    private final FenceControl fenceControl;
    private final RunListCalls listCalls;
    private final LateOrders lateOrders;
    private final RunEvents events;

    /** Takes the parts that are set before this one. */
    SuccessorControl(WorkerParts parts) {
        this.output = parts.output();
        this.runs = parts.runs();
        this.worker = parts.worker();
        this.fence = parts.fence();
        this.fenceControl = parts.fenceControl();
        this.listCalls = parts.listCalls();
        this.lateOrders = parts.lateOrders();
        this.events = parts.events();
    }

    /** Begins with an incarnation that has answered in place of the one that a list was requested from. */
    void found(WorkerIncarnation asked, long startMillis, long nowNanos) {
        if (worker.isSuccessor(new WorkerIncarnation(asked.id(), startMillis))) {
            return;
        }
        output.logEvent("worker-restarted", "worker=" + asked + " born=" + startMillis);
        output.count(RunCounter.RESTARTS_LISTED);
        worker.markReplaced(startMillis);
        listCalls.reset(nowNanos);
        lateOrders.reset();
        fenceControl.raise("worker-restarted", nowNanos);
    }

    /** Handles a list of the incarnation, which holds only runs that late orders have started. */
    void listAnswered(WorkerIncarnation incarnation, long sentNanos, RunList list, long nowNanos) {
        listCalls.ended(sentNanos);
        if (list.startMillis() != incarnation.startMillis()) {
            found(incarnation, list.startMillis(), nowNanos);
            return;
        }
        listCalls.answered(nowNanos);
        if (fence.covers(sentNanos) && fence.confirm()) {
            events.fenceInPlace(incarnation, fence);
        }
        for (RunList.Running row : list.running()) {
            // A run that the agent still holds keeps its task from other workers until the announcement.
            if (runs.find(row.ref()).isEmpty()) {
                output.stop(incarnation, row.ref(), fence.token());
            }
        }
    }

    /** Handles the failure of a list that was requested from the incarnation. */
    void listFailed(long sentNanos, RunListFailure failure, long nowNanos) {
        listCalls.ended(sentNanos);
        switch (failure) {
            case FENCED -> fenceControl.listRefused(sentNanos, nowNanos);
            case OTHER_LIFE -> worker.markDisplaced();
            case UNREACHABLE -> listCalls.markUnresponsive();
            default -> listCalls.lost(nowNanos);
        }
    }

    /** Requests a list from the incarnation if there is one and its fencing token is not in place. */
    void follow(long nowNanos) {
        Optional<WorkerIncarnation> successor = worker.successor();
        boolean due = successor.isPresent() && (!fence.inPlace() || listCalls.unresponsive());
        if (due && !listCalls.inFlight()) {
            listCalls.sent(nowNanos);
            output.list(successor.get(), fence.tokenForList(nowNanos), 0, 0, nowNanos, 0);
        }
    }

    /**
     * Keeps a list call open at an idle worker as long as an unanswered order may be executed late.
     *
     * @param acknowledged the number of the last processed run end of the current incarnation
     */
    void watch(long acknowledged, long nowNanos) {
        Optional<WorkerIncarnation> successor = worker.successor();
        boolean reachable = successor.isPresent() || worker.isPresent();
        if (!reachable || !fence.inPlace() || listCalls.unresponsive() || !lateOrders.callDue(nowNanos)) {
            return;
        }
        lateOrders.callOpened(nowNanos);
        output.list(
                successor.orElse(worker.incarnation()),
                fence.tokenForList(nowNanos),
                successor.isPresent() ? 0 : acknowledged,
                0,
                nowNanos,
                listCalls.openCallMillis());
    }
}
