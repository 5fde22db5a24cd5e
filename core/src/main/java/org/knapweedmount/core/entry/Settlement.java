package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.RelayRequest.Operation;

/** The settlement of one submission: the reports of the agents and the requests that wait for the answer. */
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
     * Creates a settlement without reports and requests.
     *
     * @param number the number that agents repeat in their answers
     * @param id the submission
     * @param agents the agents that its tasks may have been sent to
     * @param nowNanos the current time, in ns
     * @param deadlineNanos the time at which the answer is derived from the reports received by then
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

    /** Returns whether a request has a different job from an earlier one. */
    boolean conflicts(ForeignRequest request) {
        return job.isPresent() && request.job().isPresent() && !job.equals(request.job());
    }

    /** Adds a request that is to be answered. */
    void add(ForeignRequest request) {
        job = job.or(request::job);
        cancelled |= request.operation() == Operation.CANCEL;
        (request.awaitEnd() ? waitingForEnd : waitingForState).add(request.requester());
    }

    /** Answers the requests for the current state. */
    void answerStateRequests(PendingAnswers answers, JobAnswer answer) {
        answers.deliver(waitingForState, answer);
        waitingForState.clear();
    }

    /** Answers all requests. */
    void answerAll(PendingAnswers answers, JobAnswer answer) {
        answerStateRequests(answers, answer);
        answers.deliver(waitingForEnd, answer);
        waitingForEnd.clear();
    }

    boolean expired(long nowNanos) {
        return nowNanos - deadlineNanos >= 0;
    }

    /** Returns whether an interval has passed since the last poll for running tasks; if so, a new poll is recorded. */
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

    /** Returns the answer that follows from the reports received so far. */
    JobAnswer conclude() {
        return reports.conclude(job.map(spec -> spec.tasks().size()));
    }
}
