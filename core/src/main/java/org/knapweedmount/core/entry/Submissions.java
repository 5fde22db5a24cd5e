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
import org.knapweedmount.core.entry.IdIssuer.Standing;

/** The submissions whose ids this entry has issued. */
final class Submissions {
    private final EntryContext context;
    private final IdIssuer issuer;
    private final Answers answers;
    private final Admission admission;
    private final TaskScheduler scheduler;
    private final RetryPolicy retries;
    private final EndedJobs ended;
    private final Map<SubmissionId, Submission> live = new HashMap<>();
    private boolean draining;

    Submissions(
            EntryContext context,
            IdIssuer issuer,
            Answers answers,
            Admission admission,
            TaskScheduler scheduler,
            RetryPolicy retries) {
        this.context = context;
        this.issuer = issuer;
        this.answers = answers;
        this.admission = admission;
        this.scheduler = scheduler;
        this.retries = retries;
        this.ended =
                new EndedJobs(context.limits().maxEndedJobs(), context.limits().maxEndedBytes());
    }

    boolean isEmpty() {
        return live.isEmpty();
    }

    void drain() {
        draining = true;
    }

    /** Takes a job under an issued id: starts it, or joins it if it was submitted before. */
    void submit(SubmissionId id, JobRequest request, long nowNanos) {
        if (answerKnown(id, request)) {
            return;
        }
        Optional<Refusal> refusal = check(request, id.rosterVersion(), nowNanos);
        if (refusal.isPresent()) {
            JobAnswer answer = refusal.get().answer(Optional.of(id), Outcome.NOT_RUN);
            endUnstarted(id, answer);
            refuse(request.requester(), answer);
            return;
        }
        accept(id, request, true, nowNanos);
    }

    /** Takes a job under an id that a caller's own key stands for; its load was checked before the claim. */
    void submitClaimed(SubmissionId id, JobRequest request, long nowNanos) {
        if (!answerKnown(id, request)) {
            accept(id, request, true, nowNanos);
        }
    }

    /** Takes a job without an id. */
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
            return Optional.of(Refusal.of(Reason.DRAINING, "this entry is stopping"));
        }
        Optional<Refusal> form = admission.checkForm(request.service(), request.job());
        return form.isPresent() ? form : admission.checkLoad(request.service(), request.job(), rosterVersion, nowNanos);
    }

    /** Tells whether a submission has ended without its outcome being known, so that the agents may know more. */
    boolean isUnresolved(SubmissionId id) {
        return ended.find(id)
                .flatMap(known -> known.answer().outcome())
                .filter(outcome -> outcome == Outcome.UNKNOWN)
                .isPresent();
    }

    /** Tells whether a submission has ended that was made with another job. */
    boolean conflicts(SubmissionId id, JobSpec job) {
        return ended.find(id).filter(known -> known.conflicts(job)).isPresent();
    }

    /** Answers a question for the state of a submission; one that was not submitted yet never will be started. */
    void status(SubmissionId id, Requester requester, boolean awaitEnd) {
        Submission submission = live.get(id);
        if (submission == null) {
            answers.deliver(requester, answerOfEnded(id, Reason.UNKNOWN_SUBMISSION));
        } else if (awaitEnd) {
            submission.waiting().add(requester);
        } else {
            answers.deliver(requester, JobAnswer.pending(id));
        }
    }

    /** Cancels a submission; the requester is answered when it has ended. */
    void cancel(SubmissionId id, Requester requester, long nowNanos) {
        Submission submission = live.get(id);
        if (submission == null) {
            answers.deliver(requester, answerOfEnded(id, Reason.CANCELLED));
            return;
        }
        submission.waiting().add(requester);
        submission.tasks().stream()
                .filter(task -> task.phase().inFlight())
                .map(TaskRun::lastAgent)
                .distinct()
                .forEach(agent -> context.output().send(agent.incarnation(), new CancelTasks(id)));
        stop(submission, Reason.CANCELLED, nowNanos);
    }

    /** Lets a submission end with what has been started of it. */
    void stop(Submission submission, Reason reason, long nowNanos) {
        submission.stop(reason);
        dropQueued(submission, nowNanos);
        endIfDone(submission);
    }

    /** Keeps an id that was not used from ever being started. */
    void endUnstarted(SubmissionId id, JobAnswer answer) {
        issuer.use(id);
        ended.add(id, new EndedJob(answer, Optional.empty()));
    }

    /** Takes the result of a task that is in flight, and runs a request again if it may be. */
    void taskEnded(TaskRun task, TaskResult result, long nowNanos) {
        if (retries.grants(task, result, nowNanos)) {
            context.counters().increment(EntryCounter.RETRIES);
            task.runAgainAfter(result);
            task.queued(nowNanos);
            scheduler.requeue(task, nowNanos);
            return;
        }
        end(task, result, nowNanos);
    }

    /** Takes the final result of a task that is no longer queued. */
    void end(TaskRun task, TaskResult result, long nowNanos) {
        boolean fallBack =
                result.outcome() == Outcome.NOT_RUN && task.firstResult().isPresent();
        Submission submission = task.submission();
        boolean stoppedBefore = submission.stopped();
        task.ended();
        submission.ended(task, fallBack ? task.firstResult().get() : result);
        if (submission.stopped() && !stoppedBefore) {
            dropQueued(submission, nowNanos);
        }
        endIfDone(submission);
    }

    private boolean answerKnown(SubmissionId id, JobRequest request) {
        Submission submission = live.get(id);
        if (submission != null) {
            join(submission, request);
            return true;
        }
        Standing standing = issuer.standing(id);
        if (standing == Standing.FRESH) {
            return false;
        }
        Optional<EndedJob> known = ended.find(id);
        if (known.isPresent() && known.get().conflicts(request.job())) {
            refuse(request.requester(), conflict());
        } else {
            answers.deliver(request.requester(), answerOfEnded(id, Reason.UNKNOWN_SUBMISSION));
        }
        return true;
    }

    private void join(Submission submission, JobRequest request) {
        if (!submission.job().equals(request.job())) {
            refuse(request.requester(), conflict());
            return;
        }
        context.counters().increment(EntryCounter.JOINED);
        await(submission, request);
    }

    private void accept(SubmissionId id, JobRequest request, boolean repeated, long nowNanos) {
        issuer.use(id);
        JobSpec job = request.job();
        Submission submission =
                new Submission(id, request.service(), job, admission.needs(job), repeated, context.invariants());
        live.put(id, submission);
        context.counters().increment(EntryCounter.ACCEPTED);
        retries.accepted();
        await(submission, request);
        scheduler.submit(submission.service(), submission.tasks(), nowNanos);
    }

    private void await(Submission submission, JobRequest request) {
        if (request.awaitEnd()) {
            submission.waiting().add(request.requester());
        } else {
            answers.deliver(request.requester(), JobAnswer.pending(submission.id()));
        }
    }

    private JobAnswer answerOfEnded(SubmissionId id, Reason reasonIfUnused) {
        Optional<EndedJob> known = ended.find(id);
        if (known.isPresent()) {
            return known.get().answer();
        }
        Optional<SubmissionId> subject = Optional.of(id);
        return switch (issuer.standing(id)) {
            case NEVER_ISSUED ->
                JobAnswer.ended(subject, Outcome.NOT_RUN, Reason.UNKNOWN_SUBMISSION, "the id was never issued");
            case TOO_OLD -> JobAnswer.ended(subject, Outcome.NOT_RUN, Reason.UNKNOWN_SUBMISSION, "the id is too old");
            case FRESH -> endUnused(id, reasonIfUnused);
            case USED -> JobAnswer.ended(subject, Outcome.UNKNOWN, Reason.FORGOTTEN, "the record was discarded");
        };
    }

    private JobAnswer endUnused(SubmissionId id, Reason reason) {
        JobAnswer answer = JobAnswer.ended(Optional.of(id), Outcome.NOT_RUN, reason, "nothing was submitted");
        endUnstarted(id, answer);
        return answer;
    }

    private void dropQueued(Submission submission, long nowNanos) {
        for (TaskRun task : submission.tasks()) {
            if (task.phase() == TaskPhase.QUEUED) {
                scheduler.drop(task, nowNanos);
                task.ended();
                TaskResult dropped = TaskResult.of(Outcome.NOT_RUN, submission.stopReason());
                submission.ended(task, task.firstResult().orElse(dropped));
            }
        }
    }

    private void endIfDone(Submission submission) {
        if (!submission.allEnded() || live.remove(submission.id()) == null) {
            return;
        }
        JobAnswer answer = submission.answer();
        Outcome outcome = answer.outcome().orElseThrow();
        context.counters().increment(counter(outcome));
        context.invariants()
                .check(
                        (outcome == Outcome.NOT_RUN) != submission.mayHaveStarted(),
                        "a submission is not-run if and only if nothing of it was started");
        if (submission.repeated()) {
            ended.add(submission.id(), new EndedJob(answer, Optional.of(JobDigest.of(submission.job()))));
        }
        answers.deliver(List.copyOf(submission.waiting()), answer);
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

    /** Returns the answer to a request that uses an id again for another job. */
    static JobAnswer conflict() {
        return JobAnswer.ended(
                Optional.empty(), Outcome.NOT_RUN, Reason.CONFLICT, "the id was used before with another job");
    }
}
