package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.RelayRequest.Operation;

/** The settlement of one submission: what is asked, and who waits for the answer. */
final class Settlement {
    private final long number;
    private final SubmissionId id;
    private final SealReports reports;
    private final long deadlineNanos;
    private final List<Requester> waitingForEnd = new ArrayList<>(1);
    private final List<Requester> waitingForState = new ArrayList<>(1);
    private Optional<JobSpec> job = Optional.empty();
    private boolean cancelled;
    private long polledNanos;

    /**
     * Creates a settlement that nobody has been asked for yet.
     *
     * @param number the number that agents repeat in their answers
     * @param id the submission
     * @param agents the agents that may have been sent its tasks
     * @param nowNanos the present time
     * @param deadlineNanos when the answer is given with what is known by then
     */
    Settlement(long number, SubmissionId id, List<PeerAddress> agents, long nowNanos, long deadlineNanos) {
        this.number = number;
        this.id = id;
        this.reports = new SealReports(
                id, agents.stream().map(PeerAddress::incarnation).toList());
        this.polledNanos = nowNanos;
        this.deadlineNanos = deadlineNanos;
    }

    long number() {
        return number;
    }

    SubmissionId id() {
        return id;
    }

    SealReports reports() {
        return reports;
    }

    Optional<JobSpec> job() {
        return job;
    }

    boolean cancelled() {
        return cancelled;
    }

    /** Tells whether a request brings another job than an earlier one. */
    boolean conflicts(ForeignRequest request) {
        return job.isPresent() && request.job().isPresent() && !job.equals(request.job());
    }

    /** Adds a request that is to be answered. */
    void add(ForeignRequest request) {
        job = job.or(request::job);
        cancelled |= request.operation() == Operation.CANCEL;
        (request.awaitEnd() ? waitingForEnd : waitingForState).add(request.requester());
    }

    /** Answers the requests that want the present state. */
    void answerWaitingForState(PendingAnswers answers, JobAnswer answer) {
        answers.deliver(waitingForState, answer);
        waitingForState.clear();
    }

    /** Answers all requests. */
    void answerAll(PendingAnswers answers, JobAnswer answer) {
        answerWaitingForState(answers, answer);
        answers.deliver(waitingForEnd, answer);
        waitingForEnd.clear();
    }

    boolean expired(long nowNanos) {
        return nowNanos - deadlineNanos >= 0;
    }

    /** Tells whether an interval has passed since running tasks were asked for last, and notes the time if so. */
    boolean tryStartPoll(long nowNanos, long intervalNanos) {
        if (nowNanos - polledNanos < intervalNanos) {
            return false;
        }
        polledNanos = nowNanos;
        return true;
    }

    /** Returns the answer if every task is known to be complete. */
    Optional<JobAnswer> complete() {
        return job.flatMap(spec -> reports.complete(spec.tasks().size()));
    }

    /** Returns the answer that the reports allow. */
    JobAnswer conclude() {
        return reports.conclude(job.map(spec -> spec.tasks().size()));
    }
}
