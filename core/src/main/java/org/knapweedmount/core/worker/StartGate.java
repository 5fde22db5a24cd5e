package org.knapweedmount.core.worker;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.WorkerCondition.Availability;

/** Decides whether the worker accepts starts, and how much capacity they may take. */
final class StartGate {
    /** How many runs a worker may have that is closed for its health; each success opens it for more. */
    private static final int MAX_RUNS_WHILE_CLOSED = 4;

    private final RunTable runs;
    private final EntryTable entries;
    private final CurrentWorker worker;
    private final EarlierWorkers earlierWorkers;
    private final FenceControl fenceControl;
    private final RunListCalls listCalls;
    private final RunEvents events;
    private final HealthControl health;
    private boolean noForeignRuns;
    private boolean draining;

    StartGate(WorkerParts parts) {
        this.runs = parts.runs();
        this.entries = parts.entries();
        this.worker = parts.worker();
        this.earlierWorkers = parts.earlierWorkers();
        this.fenceControl = parts.fenceControl();
        this.listCalls = parts.listCalls();
        this.events = parts.events();
        this.health = parts.health();
    }

    boolean acceptsStarts(long nowNanos) {
        return availability(nowNanos) == Availability.OPEN;
    }

    /** Returns whether the worker accepts starts, and if not, whether its health is the only reason. */
    Availability availability(long nowNanos) {
        boolean possible = worker.acceptsStarts()
                && noForeignRuns
                && earlierWorkers.foreignRunsEnded(nowNanos)
                && !listCalls.unresponsive()
                && !draining
                && !entries.isDataCentreClosed();
        if (!possible) {
            return Availability.CLOSED;
        }
        return health.admits(runs.size(), nowNanos) ? Availability.OPEN : Availability.UNHEALTHY;
    }

    /**
     * Returns whether a start is accepted although the worker is closed for its health: the entry knew that, and orders from
     * it because too few workers of the service are open.
     */
    boolean acceptsStartWhileClosed(EntryView entry, long timestampNanos, long nowNanos) {
        return availability(nowNanos) == Availability.UNHEALTHY
                && entry.wasToldUnhealthy(timestampNanos)
                && runs.size() < MAX_RUNS_WHILE_CLOSED;
    }

    /** Returns the capacity that is neither in use nor offered to an entry. */
    Resources free() {
        return capacity().minus(runs.usedCapacity()).minus(entries.offeredCapacity());
    }

    /** Returns the total capacity of the worker. */
    Resources capacity() {
        return worker.announcement().capacity();
    }

    /** Returns whether the last list has shown no runs of other processes, and none can be started by them. */
    boolean noForeignRuns() {
        return noForeignRuns;
    }

    void setNoForeignRuns(boolean clean) {
        noForeignRuns = clean;
    }

    /** Accepts no more starts until a list has shown that there are no runs of other processes. */
    void requireList() {
        noForeignRuns = false;
    }

    /** Accepts no more starts until the worker has announced itself and answered a list. */
    void markEnded() {
        worker.markEnded();
        requireList();
    }

    /** Accepts no more starts until the worker has answered again. */
    void markUnresponsive() {
        if (listCalls.markUnresponsive()) {
            events.workerSilent(worker.incarnation());
        }
    }

    /** Accepts no more starts until a list has shown whether the worker has seen a higher fencing token. */
    void suspectFence(String reason, long nowNanos) {
        fenceControl.suspect(reason, nowNanos);
        requireList();
    }

    /** Accepts no more starts, as this process is about to stop. */
    void beginDrain() {
        draining = true;
    }
}
