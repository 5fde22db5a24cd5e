package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/**
 * Bounded records of which tasks of each submission were started and how they ended.
 *
 * <p>Submissions are discarded in the order in which they ended; those with a running task are kept.
 */
final class StartRecords {
    /** A result larger than the total limit divided by this is not kept, since it would displace too many others. */
    private static final int RESULT_LIMIT_DIVISOR = 4;

    private final AgentLimits limits;
    private final Counters<AgentCounter> counters;
    private final Invariants invariants;
    private final Map<SubmissionId, SubmissionRecord> running = new HashMap<>();
    private final Map<SubmissionId, SubmissionRecord> ended = new LinkedHashMap<>();
    private final IssuerHorizons horizons = new IssuerHorizons(IssuerHorizons.MAX_ISSUERS);
    private long resultBytes;

    StartRecords(AgentLimits limits, Counters<AgentCounter> counters, Invariants invariants) {
        this.limits = limits;
        this.counters = counters;
        this.invariants = invariants;
    }

    Optional<TaskRecord> find(TaskId task) {
        return find(task.submission()).flatMap(record -> record.find(task.index()));
    }

    private Optional<SubmissionRecord> find(SubmissionId submission) {
        SubmissionRecord record = running.get(submission);
        return Optional.ofNullable(record != null ? record : ended.get(submission));
    }

    /** Records that a task is sent to an endpoint. */
    void started(TaskId id) {
        SubmissionId submission = id.submission();
        SubmissionRecord record =
                find(submission).orElseGet(() -> new SubmissionRecord(submission, horizons.isAboveHorizon(submission)));
        ended.remove(submission);
        running.put(submission, record);
        TaskRecord task = record.findOrAdd(id.index());
        invariants.check(!task.mustNotRestart(true), "a running or completed task is not started again");
        resultBytes -= task.resultBytes();
        task.started();
        while (!ended.isEmpty() && running.size() + ended.size() > limits.maxRecords()) {
            discardOldest();
        }
    }

    /** Records the result of a task. */
    void finished(TaskId id, TaskResult result) {
        Optional<TaskResult> kept = makeRoom(result);
        end(id, task -> {
            task.finished(result.outcome(), kept);
            resultBytes += task.resultBytes();
        });
    }

    private Optional<TaskResult> makeRoom(TaskResult result) {
        int size = TaskRecord.size(result);
        if (size > limits.maxResultBytes() / RESULT_LIMIT_DIVISOR) {
            return Optional.empty();
        }
        while (!ended.isEmpty() && resultBytes + size > limits.maxResultBytes()) {
            discardOldest();
        }
        return resultBytes + size > limits.maxResultBytes() ? Optional.empty() : Optional.of(result);
    }

    /**
     * Records that a task was sent but not run.
     *
     * @param entryNotified whether the entry is notified at once, so that no record is needed
     */
    void notRun(TaskId id, boolean entryNotified) {
        end(id, TaskRecord::notStarted);
        if (entryNotified) {
            removeNotRun(id);
        }
    }

    /** Removes the record of a task that was not run. */
    void removeNotRun(TaskId id) {
        SubmissionId submission = id.submission();
        find(submission).ifPresent(record -> {
            record.tasks().removeIf(task -> task.index() == id.index() && task.state() == TaskState.NOT_STARTED);
            if (record.tasks().isEmpty()) {
                ended.remove(submission);
            }
        });
    }

    private void end(TaskId id, Consumer<TaskRecord> change) {
        SubmissionRecord record = running.get(id.submission());
        Optional<TaskRecord> task = record == null ? Optional.empty() : record.find(id.index());
        if (task.isEmpty() || !task.get().running()) {
            invariants.check(false, "every task that ends is recorded as running");
            return;
        }
        change.accept(task.get());
        if (!record.running()) {
            running.remove(record.id());
            ended.put(record.id(), record);
        }
    }

    private void discardOldest() {
        SubmissionRecord oldest = ended.values().iterator().next();
        ended.remove(oldest.id());
        resultBytes -= oldest.resultBytes();
        horizons.discarded(oldest.id());
        counters.increment(AgentCounter.EVICTED_RECORDS);
    }

    /** Returns whether {@link #started(SubmissionId)} reports every task of a submission that was started. */
    boolean isComplete(SubmissionId submission) {
        return find(submission).map(SubmissionRecord::complete).orElseGet(() -> horizons.isAboveHorizon(submission));
    }

    /** Returns reports on the recorded tasks of a submission that were started. */
    List<TaskReport> started(SubmissionId submission) {
        List<TaskReport> reports = new ArrayList<>();
        find(submission).ifPresent(record -> {
            for (TaskRecord task : record.tasks()) {
                if (task.state() != TaskState.NOT_STARTED) {
                    reports.add(new TaskReport(submission.task(task.index()), task.state(), task.result()));
                }
            }
        });
        return reports;
    }

    /** Returns a report on the state of one task. */
    TaskReport report(TaskId id) {
        Optional<TaskRecord> task = find(id);
        if (task.isPresent()) {
            return new TaskReport(id, task.get().state(), task.get().result());
        }
        TaskState state = isComplete(id.submission()) ? TaskState.NOT_STARTED : TaskState.FORGOTTEN;
        return new TaskReport(id, state, Optional.empty());
    }
}
