package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.core.metric.Invariants;

/** An accepted submission that has not ended. */
final class Submission {
    private final SubmissionId id;
    private final String service;
    private final JobSpec job;
    private final boolean resubmittable;
    private final List<TaskRun> tasks;
    private final TaskResult[] results;
    private final List<Requester> waitingRequesters = new ArrayList<>(1);
    private final Invariants invariants;
    private SubmissionState state = EntryCharts.SUBMISSION.initial();
    private Reason stopReason = Reason.NONE;
    private int openTasks;
    private int retryAfterMillis;

    /**
     * Creates a submission whose tasks are not queued yet.
     *
     * @param id its ID
     * @param service the service of all tasks
     * @param job the job
     * @param requiredResources the resources that each task requires of a worker
     * @param resubmittable true if the ID may be submitted again, so that the answer must be kept
     * @param invariants the invariant checks
     */
    Submission(
            SubmissionId id,
            String service,
            JobSpec job,
            List<Resources> requiredResources,
            boolean resubmittable,
            Invariants invariants) {
        this.id = id;
        this.service = service;
        this.job = job;
        this.resubmittable = resubmittable;
        this.invariants = invariants;
        this.tasks = new ArrayList<>(requiredResources.size());
        for (int i = 0; i < requiredResources.size(); i++) {
            tasks.add(new TaskRun(this, i, requiredResources.get(i), invariants));
        }
        this.results = new TaskResult[requiredResources.size()];
        this.openTasks = requiredResources.size();
    }

    SubmissionId id() {
        return id;
    }

    String service() {
        return service;
    }

    JobSpec job() {
        return job;
    }

    boolean resubmittable() {
        return resubmittable;
    }

    List<TaskRun> tasks() {
        return tasks;
    }

    /** The requesters that are answered when the submission has ended. */
    List<Requester> waitingRequesters() {
        return waitingRequesters;
    }

    /** Returns whether no further task may be started. */
    boolean stopped() {
        return state != SubmissionState.RUNNING;
    }

    Reason stopReason() {
        return stopReason;
    }

    /** Prevents further starts; the reason of the first call is kept. */
    void stop(Reason reason) {
        if (state == SubmissionState.RUNNING) {
            stopReason = reason;
        }
        transition(SubmissionEvent.STOPPED);
    }

    /** Sets the time after which the caller should retry if nothing was started, in ms. */
    void retryAfter(int millis) {
        retryAfterMillis = millis;
    }

    /** Returns whether some task may have been started. */
    boolean mayHaveStarted() {
        return tasks.stream().anyMatch(TaskRun::mayHaveStarted);
    }

    /** Records the result of a task, and stops the submission if it can no longer become complete. */
    void ended(TaskRun task, TaskResult result) {
        results[task.id().index()] = result;
        openTasks--;
        if (result.outcome() != Outcome.COMPLETE) {
            stop(result.reason());
        }
        if (openTasks == 0) {
            transition(SubmissionEvent.LAST_TASK_ENDED);
        }
    }

    boolean allEnded() {
        return state == SubmissionState.ENDED;
    }

    private void transition(SubmissionEvent event) {
        state = EntryCharts.SUBMISSION.next(state, event, invariants);
    }

    /** Returns the answer after all tasks have ended. */
    JobAnswer answer() {
        if (count(Outcome.COMPLETE) == results.length) {
            return JobAnswer.complete(id, Arrays.asList(results));
        }
        Reason reason = stopReason;
        if (count(Outcome.NOT_RUN) == results.length) {
            return answer(Outcome.NOT_RUN, reason, "no task was started").retryAfter(retryAfterMillis);
        }
        Optional<Integer> unknown = firstWith(Outcome.UNKNOWN);
        if (unknown.isPresent()) {
            Reason cause = results[unknown.get()].reason();
            String detail = "the outcome of task " + unknown.get() + " is unknown";
            return answer(Outcome.UNKNOWN, cause, detail).withTasks(Arrays.asList(results));
        }
        return answer(Outcome.FAILED, failureReason(), failureDetail()).withTasks(Arrays.asList(results));
    }

    private JobAnswer answer(Outcome outcome, Reason reason, String detail) {
        return JobAnswer.ended(Optional.of(id), outcome, reason, detail);
    }

    private Reason failureReason() {
        Optional<Integer> failed = firstWith(Outcome.FAILED);
        if (failed.isEmpty() || stopReason == Reason.CANCELLED) {
            return stopReason;
        }
        return results[failed.get()].reason();
    }

    private String failureDetail() {
        Optional<Integer> failed = firstWith(Outcome.FAILED);
        if (failed.isEmpty()) {
            return count(Outcome.COMPLETE) + " of " + results.length + " tasks completed";
        }
        return failureDetail(failed.get(), results[failed.get()]);
    }

    /** Describes the failure of a task. */
    static String failureDetail(int index, TaskResult result) {
        int status = result.status();
        return "task " + index + " failed" + (status > 0 ? " with status " + status : "");
    }

    private Optional<Integer> firstWith(Outcome outcome) {
        for (int i = 0; i < results.length; i++) {
            if (results[i].outcome() == outcome) {
                return Optional.of(i);
            }
        }
        return Optional.empty();
    }

    private long count(Outcome outcome) {
        return Arrays.stream(results)
                .filter(result -> result.outcome() == outcome)
                .count();
    }
}
