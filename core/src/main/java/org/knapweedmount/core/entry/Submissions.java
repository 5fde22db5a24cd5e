package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.core.entry.IdIssuer.IdStatus;

/** The submissions whose IDs were issued by this entry. */
final class Submissions {
    private final EntryContext context;
    private final IdIssuer issuer;
    private final PendingAnswers answers;
    private final Admission admission;
    private final TaskScheduler scheduler;
    private final RetryPolicy retryPolicy;
    private final EndedJobs endedJobs;
    private final Map<SubmissionId, Submission> active = new HashMap<>();
    private boolean draining;

    Submissions(
            EntryContext context,
            IdIssuer issuer,
            PendingAnswers answers,
            Admission admission,
            TaskScheduler scheduler,
            RetryPolicy retryPolicy) {
        this.context = context;
        this.issuer = issuer;
        this.answers = answers;
        this.admission = admission;
        this.scheduler = scheduler;
        this.retryPolicy = retryPolicy;
        this.endedJobs =
                new EndedJobs(context.limits().maxEndedJobs(), context.limits().maxEndedBytes());
    }

    boolean isEmpty() {
        return active.isEmpty();
    }

    void drain() {
        draining = true;
    }

    /** Accepts or refuses a job under an issued ID, or joins the submission if the ID was submitted before. */
    void submit(SubmissionId id, JobRequest request, long nowNanos) {
        if (answerIfKnown(id, request)) {
            return;
        }
        Optional<Refusal> refusal = check(request, id.rosterVersion(), nowNanos);
        if (refusal.isPresent()) {
            JobAnswer answer = refusal.get().answer(Optional.of(id), Outcome.NOT_RUN);
            endWithoutStart(id, answer);
            refuse(request.requester(), answer);
            return;
        }
        accept(id, request, true, nowNanos);
    }

    /** Accepts a job under the ID that an idempotency key is bound to; the load was checked before the claim. */
    void submitClaimed(SubmissionId id, JobRequest request, long nowNanos) {
        if (!answerIfKnown(id, request)) {
            accept(id, request, true, nowNanos);
        }
    }

    /** Accepts or refuses a job without an ID. */
    void submitNew(JobRequest request, long nowNanos) {
        Optional<Refusal> refusal = check(request, Integer.MAX_VALUE, nowNanos);
        if (refusal.isPresent()) {
            refuse(request.requester(), refusal.get().answer(Optional.empty(), Outcome.NOT_RUN));
            return;
        }
        accept(issuer.issue(), request, !request.awaitEnd(), nowNanos);
    }

    /** Checks whether a job would be accepted now. */
    Optional<Refusal> check(JobRequest request, int rosterVersion, long nowNanos) {
        if (draining) {
            return Optional.of(Refusal.of(Reason.DRAINING, "this entry is draining"));
        }
        Optional<Refusal> refusal = admission.checkSpec(request.service(), request.job());
        return refusal.isPresent()
                ? refusal
                : admission.checkLoad(request.service(), request.job(), rosterVersion, nowNanos);
    }

    /** Returns whether a submission has ended with an unknown outcome, which the agents may be able to determine. */
    boolean isUnresolved(SubmissionId id) {
        return endedJobs
                .find(id)
                .flatMap(job -> job.answer().outcome())
                .filter(outcome -> outcome == Outcome.UNKNOWN)
                .isPresent();
    }

    /** Returns whether a submission has ended that had a different job. */
    boolean conflicts(SubmissionId id, JobSpec job) {
        return endedJobs.find(id).filter(ended -> ended.conflicts(job)).isPresent();
    }

    /** Answers a request for the state of a submission; an ID that was not submitted yet is never started. */
    void status(SubmissionId id, Requester requester, boolean awaitEnd) {
        Submission submission = active.get(id);
        if (submission == null) {
            answers.deliver(requester, endedAnswer(id, Reason.UNKNOWN_SUBMISSION));
        } else if (awaitEnd) {
            submission.waitingRequesters().add(requester);
        } else {
            answers.deliver(requester, JobAnswer.pending(id));
        }
    }

    /** Cancels a submission; the requester is answered when it has ended. */
    void cancel(SubmissionId id, Requester requester, long nowNanos) {
        Submission submission = active.get(id);
        if (submission == null) {
            answers.deliver(requester, endedAnswer(id, Reason.CANCELLED));
            return;
        }
        submission.waitingRequesters().add(requester);
        submission.tasks().stream()
                .filter(task -> task.phase().inFlight())
                .map(TaskRun::lastAgent)
                .distinct()
                .forEach(agent -> context.output().send(agent.incarnation(), new CancelTasks(id)));
        stop(submission, Reason.CANCELLED, nowNanos);
    }

    /** Ends the queued tasks of a submission; the submission ends when its tasks in flight have ended. */
    void stop(Submission submission, Reason reason, long nowNanos) {
        submission.stop(reason);
        endQueuedTasks(submission, nowNanos);
        endIfDone(submission);
    }

    /** Ends an unused ID with an answer, so that it is never started. */
    void endWithoutStart(SubmissionId id, JobAnswer answer) {
        issuer.markUsed(id);
        endedJobs.add(id, new EndedJob(answer, Optional.empty()));
    }

    /** Handles the result of a task that was in flight, and retries the task if the policy permits. */
    void taskEnded(TaskRun task, TaskResult result, long nowNanos) {
        if (retryPolicy.tryRetry(task, result, nowNanos)) {
            context.counters().increment(EntryCounter.RETRIES);
            task.retried(result);
            task.queued(nowNanos);
            scheduler.requeue(task, nowNanos);
            return;
        }
        end(task, result, nowNanos);
    }

    /** Handles the final result of a task that is no longer queued. */
    void end(TaskRun task, TaskResult result, long nowNanos) {
        boolean useFirstResult =
                result.outcome() == Outcome.NOT_RUN && task.firstResult().isPresent();
        Submission submission = task.submission();
        boolean wasStopped = submission.stopped();
        task.ended();
        submission.ended(task, useFirstResult ? task.firstResult().get() : result);
        if (submission.stopped() && !wasStopped) {
            endQueuedTasks(submission, nowNanos);
        }
        endIfDone(submission);
    }

    private boolean answerIfKnown(SubmissionId id, JobRequest request) {
        Submission submission = active.get(id);
        if (submission != null) {
            join(submission, request);
            return true;
        }
        IdStatus status = issuer.status(id);
        if (status == IdStatus.UNUSED) {
            return false;
        }
        Optional<EndedJob> ended = endedJobs.find(id);
        if (ended.isPresent() && ended.get().conflicts(request.job())) {
            refuse(request.requester(), conflictAnswer());
        } else {
            answers.deliver(request.requester(), endedAnswer(id, Reason.UNKNOWN_SUBMISSION));
        }
        return true;
    }

    private void join(Submission submission, JobRequest request) {
        if (!submission.job().equals(request.job())) {
            refuse(request.requester(), conflictAnswer());
            return;
        }
        context.counters().increment(EntryCounter.JOINED);
        addRequester(submission, request);
    }

    private void accept(SubmissionId id, JobRequest request, boolean resubmittable, long nowNanos) {
        issuer.markUsed(id);
        JobSpec job = request.job();
        Submission submission = new Submission(
                id, request.service(), job, admission.requiredResources(job), resubmittable, context.invariants());
        active.put(id, submission);
        context.counters().increment(EntryCounter.ACCEPTED);
        retryPolicy.submissionAccepted();
        addRequester(submission, request);
        scheduler.submit(submission.service(), submission.tasks(), nowNanos);
    }

    private void addRequester(Submission submission, JobRequest request) {
        if (request.awaitEnd()) {
            submission.waitingRequesters().add(request.requester());
        } else {
            answers.deliver(request.requester(), JobAnswer.pending(submission.id()));
        }
    }

    private JobAnswer endedAnswer(SubmissionId id, Reason reasonIfUnused) {
        Optional<EndedJob> ended = endedJobs.find(id);
        if (ended.isPresent()) {
            return ended.get().answer();
        }
        Optional<SubmissionId> submission = Optional.of(id);
        return switch (issuer.status(id)) {
            case NEVER_ISSUED ->
                JobAnswer.ended(submission, Outcome.NOT_RUN, Reason.UNKNOWN_SUBMISSION, "the ID was never issued");
            case EXPIRED ->
                JobAnswer.ended(submission, Outcome.NOT_RUN, Reason.UNKNOWN_SUBMISSION, "the ID has expired");
            case UNUSED -> endUnused(id, reasonIfUnused);
            case USED ->
                JobAnswer.ended(
                        submission, Outcome.UNKNOWN, Reason.FORGOTTEN, "the record of the submission was discarded");
        };
    }

    private JobAnswer endUnused(SubmissionId id, Reason reason) {
        JobAnswer answer =
                JobAnswer.ended(Optional.of(id), Outcome.NOT_RUN, reason, "nothing was submitted under the ID");
        endWithoutStart(id, answer);
        return answer;
    }

    private void endQueuedTasks(Submission submission, long nowNanos) {
        for (TaskRun task : submission.tasks()) {
            if (task.phase() == TaskPhase.QUEUED) {
                scheduler.remove(task, nowNanos);
                task.ended();
                TaskResult notRun = TaskResult.of(Outcome.NOT_RUN, submission.stopReason());
                submission.ended(task, task.firstResult().orElse(notRun));
            }
        }
    }

    private void endIfDone(Submission submission) {
        if (!submission.allEnded() || active.remove(submission.id()) == null) {
            return;
        }
        JobAnswer answer = submission.answer();
        Outcome outcome = answer.outcome().orElseThrow();
        context.counters().increment(counter(outcome));
        context.invariants()
                .check(
                        (outcome == Outcome.NOT_RUN) != submission.mayHaveStarted(),
                        "a submission is not-run if and only if none of its tasks was started");
        if (submission.resubmittable()) {
            endedJobs.add(submission.id(), new EndedJob(answer, Optional.of(JobDigest.of(submission.job()))));
        }
        answers.deliver(List.copyOf(submission.waitingRequesters()), answer);
    }

    private static EntryCounter counter(Outcome outcome) {
        return switch (outcome) {
            case COMPLETE -> EntryCounter.COMPLETE;
            case FAILED -> EntryCounter.FAILED;
            case NOT_RUN -> EntryCounter.NOT_RUN;
            case UNKNOWN -> EntryCounter.UNKNOWN;
        };
    }

    private void refuse(Requester requester, JobAnswer answer) {
        context.counters().increment(EntryCounter.REFUSED);
        answers.deliver(requester, answer);
    }

    /** Returns the answer to a request that reuses an ID for a different job. */
    static JobAnswer conflictAnswer() {
        return JobAnswer.ended(
                Optional.empty(), Outcome.NOT_RUN, Reason.CONFLICT, "the ID was used before with a different job");
    }
}
