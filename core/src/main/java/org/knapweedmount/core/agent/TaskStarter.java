package org.knapweedmount.core.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;

/** Admits or refuses starts, and tracks the running tasks. */
final class TaskStarter {
    private final AgentContext context;
    private final StartSequenceFilter startFilter;
    private final Seals seals;
    private final StartRecords records;
    private final Map<TaskId, RunningTask> running = new HashMap<>();

    TaskStarter(AgentContext context, StartSequenceFilter startFilter, Seals seals, StartRecords records) {
        this.context = context;
        this.startFilter = startFilter;
        this.seals = seals;
        this.records = records;
    }

    /**
     * Starts a task or sends the reason for the refusal to its entry; the lease is consumed in both cases.
     *
     * @param pool the slot pool of the task's service, empty if the agent has none
     * @param draining whether the agent accepts no new tasks
     */
    void start(Incarnation entry, Start start, Optional<ServicePool> pool, boolean draining, long nowNanos) {
        if (!startFilter.accept(entry, start.sequence())) {
            context.counters().increment(AgentCounter.DUPLICATE_STARTS);
            return;
        }
        if (start.task().submission().issuer().equals(entry)) {
            seals.issued(start.task().submission());
        }
        Optional<Lease> lease = pool.flatMap(servicePool -> servicePool.take(entry, start));
        pool.ifPresent(servicePool -> servicePool.queued(entry, start, nowNanos));
        boolean repeatable =
                pool.map(servicePool -> servicePool.repeatable(start)).orElse(false);
        if (answeredFromRecord(entry, start, repeatable)) {
            lease.ifPresent(taken -> taken.pool().refused(taken));
            return;
        }
        Optional<Reason> refusal = refusal(entry, start, lease, draining);
        if (refusal.isPresent()) {
            lease.ifPresent(taken -> closeRefusedLease(taken, start, refusal.get(), nowNanos));
            refuse(entry, start, refusal.get());
            return;
        }
        startTask(start, lease.orElseThrow(), nowNanos);
    }

    private static void closeRefusedLease(Lease lease, Start start, Reason reason, long nowNanos) {
        lease.pool().refused(lease);
        if (reason == Reason.OVER_QUOTA || reason == Reason.LEASE_LAPSED) {
            lease.pool().queueRefused(lease, start, nowNanos);
        }
    }

    /**
     * Answers the start of a task that the records show as running, complete, or failed and not repeatable.
     *
     * <p>The records decide, since the entry may have lost track of an earlier start.
     */
    private boolean answeredFromRecord(Incarnation entry, Start start, boolean repeatable) {
        Optional<TaskRecord> record = records.find(start.task());
        if (record.isEmpty() || !record.get().mustNotRestart(repeatable)) {
            return false;
        }
        context.counters().increment(AgentCounter.DUPLICATE_STARTS);
        if (!record.get().running()) {
            TaskResult result = record.get().result().orElseGet(() -> TaskResult.of(Outcome.UNKNOWN, Reason.FORGOTTEN));
            context.output().send(entry, new Finished(start.task(), 0, result, Optional.empty()));
        }
        return true;
    }

    private Optional<Reason> refusal(Incarnation entry, Start start, Optional<Lease> lease, boolean draining) {
        if (!start.task().submission().issuer().equals(entry)) {
            return Optional.of(Reason.MALFORMED);
        }
        if (seals.contains(start.task().submission())) {
            return Optional.of(Reason.SEALED);
        }
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (lease.isEmpty()) {
            return Optional.of(Reason.LEASE_LAPSED);
        }
        return lease.get().pool().refusal(lease.get(), start);
    }

    private void refuse(Incarnation entry, Start start, Reason reason) {
        if (reason == Reason.SEALED) {
            context.counters().increment(AgentCounter.SEALED_STARTS);
        }
        if (reason == Reason.LEASE_LAPSED) {
            context.counters().increment(AgentCounter.LAPSED_LEASES);
        }
        if (reason == Reason.OVER_QUOTA) {
            context.counters().increment(AgentCounter.OVER_QUOTA_STARTS);
        }
        context.output().send(entry, new NotStarted(start.task(), start.sequence(), reason));
    }

    private void startTask(Start start, Lease lease, long nowNanos) {
        RunningTask task = lease.pool().start(lease, start, nowNanos);
        RunningTask before = running.put(start.task(), task);
        context.invariants().check(before == null, "a task has at most one concurrent run");
        records.started(start.task());
        context.counters().increment(AgentCounter.STARTED);
        context.output().start(task.endpoint().id(), task.id(), start.spec());
    }

    /**
     * Removes a task that has ended from the running tasks.
     *
     * @param result the result of the task
     * @return the task, empty if no such task was running
     */
    Optional<RunningTask> ended(TaskId id, TaskResult result) {
        Optional<RunningTask> task = Optional.ofNullable(running.remove(id));
        task.ifPresent(ended -> ended.ended(result));
        return task;
    }

    /** Asks the endpoints to stop the running tasks of a submission. */
    void cancel(SubmissionId submission) {
        for (TaskReport report : records.started(submission)) {
            if (report.state() == TaskState.RUNNING) {
                RunningTask task = running.get(report.task());
                task.markStopped();
                context.output().stop(task.endpoint().id(), task.id());
            }
        }
    }

    /** Updates the resource charges of an endpoint after a report of measured usage. */
    void updateCharges(Endpoint endpoint) {
        for (RunningTask task : running.values()) {
            if (task.endpoint().equals(endpoint)) {
                task.updateEndpointCharge();
            }
        }
    }

    boolean idle() {
        return running.isEmpty();
    }
}
