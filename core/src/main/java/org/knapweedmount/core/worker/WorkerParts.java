package org.knapweedmount.core.worker;

import org.knapweedmount.core.worker.health.WorkerLifecycle;

/** The state of the agent of one worker, which the handlers of its events share. */
final class WorkerParts {
    private final WorkerOutput output;
    private final EntryTable entries;
    private final RunTable runs = new RunTable();
    private final WorkerLease lease = new WorkerLease();
    private final WorkerFence fence = new WorkerFence();
    private final HealthControl health;
    private final WorkerLifecycle lifecycle = new WorkerLifecycle();
    private final SlowdownEstimator slowdown = new SlowdownEstimator();
    private final RunListCalls listCalls = new RunListCalls();
    private final RunEvents events;
    private final CurrentWorker worker = new CurrentWorker();
    private final RunControl control;
    private final EarlierWorkers earlierWorkers;
    private final FenceControl fenceControl;
    private final LateOrders lateOrders;
    private final SuccessorControl successors;

    WorkerParts(WorkerOutput output, ProcessStart start) {
        this.output = output;
        this.entries = new EntryTable(output);
        this.events = new RunEvents(output);
        this.health = new HealthControl(output, worker);
        this.control = new RunControl(output, runs, entries, worker, lease, fence, events);
        this.earlierWorkers = new EarlierWorkers(output, runs, control, fence, start.nanos());
        this.fenceControl = new FenceControl(output, fence, worker, start, earlierWorkers, events);
        this.lateOrders = new LateOrders(start.nanos());
        this.successors = new SuccessorControl(this);
    }

    WorkerOutput output() {
        return output;
    }

    EntryTable entries() {
        return entries;
    }

    RunTable runs() {
        return runs;
    }

    WorkerLease lease() {
        return lease;
    }

    WorkerFence fence() {
        return fence;
    }

    HealthControl health() {
        return health;
    }

    WorkerLifecycle lifecycle() {
        return lifecycle;
    }

    SlowdownEstimator slowdown() {
        return slowdown;
    }

    RunListCalls listCalls() {
        return listCalls;
    }

    RunEvents events() {
        return events;
    }

    CurrentWorker worker() {
        return worker;
    }

    RunControl control() {
        return control;
    }

    EarlierWorkers earlierWorkers() {
        return earlierWorkers;
    }

    FenceControl fenceControl() {
        return fenceControl;
    }

    LateOrders lateOrders() {
        return lateOrders;
    }

    SuccessorControl successors() {
        return successors;
    }
}
