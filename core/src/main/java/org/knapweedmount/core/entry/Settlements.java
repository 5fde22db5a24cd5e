package org.knapweedmount.core.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.Sealed;

/**
 * Determines from the agents the outcome of submissions whose issuer cannot be reached.
 *
 * <p>Every agent that tasks may have been sent to gets a seal: from then on it starts no task of the submission, and it
 * reports those that it has started. An agent that does not answer is assumed to have started a task.
 */
final class Settlements {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long POLL_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;
    private static final int MAX_OPEN_SETTLEMENTS = 1_000;
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private final EntryContext context;
    private final PendingAnswers answers;
    private final AgentRegistry agents;
    private final RosterLookup rosters;
    private final EndedJobs settled;
    private final SealQueue sealQueue;
    private final Map<SubmissionId, Settlement> openSettlements = new LinkedHashMap<>();
    private long lastNumber;

    /** Looks up the agents that tasks of a submission may have been sent to. */
    interface RosterLookup {
        /** Returns the agents, empty if they are not known. */
        Optional<List<PeerAddress>> agents(SubmissionId id);
    }

    Settlements(EntryContext context, PendingAnswers answers, AgentRegistry agents, RosterLookup rosters) {
        this.context = context;
        this.answers = answers;
        this.agents = agents;
        this.rosters = rosters;
        this.sealQueue = new SealQueue(context);
        this.settled =
                new EndedJobs(context.limits().maxEndedJobs(), context.limits().maxEndedBytes());
    }

    /** Answers a request if its submission has been settled, and returns whether it has. */
    boolean answerSettled(ForeignRequest request) {
        Optional<EndedJob> ended = settled.find(request.id());
        if (ended.isEmpty()) {
            return false;
        }
        Optional<JobSpec> job = request.job();
        boolean conflict = job.isPresent() && ended.get().conflicts(job.get());
        answers.deliver(
                request.requester(),
                conflict ? Submissions.conflictAnswer() : ended.get().answer());
        return true;
    }

    /** Starts or joins the settlement of the submission that a request is about. */
    void settle(ForeignRequest request, long nowNanos) {
        if (answerSettled(request)) {
            return;
        }
        Settlement settlement = openSettlements.get(request.id());
        if (settlement != null) {
            join(settlement, request, nowNanos);
            return;
        }
        Optional<List<PeerAddress>> roster = rosters.agents(request.id());
        if (roster.isEmpty()) {
            refuse(
                    request,
                    Reason.CONNECTION_LOST,
                    "the entry that issued the ID cannot be reached and its roster is unknown");
        } else if (openSettlements.size() >= MAX_OPEN_SETTLEMENTS) {
            refuse(request, Reason.OVERLOADED, "too many submissions are being settled");
        } else {
            start(request, roster.get(), nowNanos);
        }
    }

    void sealed(Incarnation from, Sealed sealed, long nowNanos) {
        Settlement settlement = openSettlements.get(sealed.submission());
        if (settlement == null || settlement.number() != sealed.request()) {
            return;
        }
        settlement.reports().add(from, sealed);
        if (settlement.cancelled() && settlement.reports().runningAgents().contains(from)) {
            context.output().send(from, new CancelTasks(settlement.id()));
        }
        conclude(settlement, nowNanos);
    }

    /** Sends an agent that has just been linked the seals that it has not answered. */
    void linked(Incarnation agent, long nowNanos) {
        sealQueue.linked(agent);
        for (Settlement settlement : openSettlements.values()) {
            if (settlement.reports().missing().contains(agent)) {
                seal(settlement, agent, nowNanos);
            }
        }
    }

    /** Polls the agents of running tasks, and concludes the settlements that are due. */
    void tick(long nowNanos) {
        for (Settlement settlement : List.copyOf(openSettlements.values())) {
            if (settlement.tryStartPoll(nowNanos, POLL_INTERVAL_NANOS)) {
                settlement.reports().runningAgents().forEach(agent -> seal(settlement, agent, nowNanos));
            }
            conclude(settlement, nowNanos);
        }
        sealQueue.tick(this::isOpen, nowNanos);
    }

    private boolean isOpen(Seal seal) {
        Settlement settlement = openSettlements.get(seal.submission());
        return settlement != null && settlement.number() == seal.request();
    }

    private void start(ForeignRequest request, List<PeerAddress> roster, long nowNanos) {
        context.counters().increment(EntryCounter.SETTLEMENTS);
        long deadlineNanos = nowNanos + context.limits().settleMillis() * NANOS_PER_MILLI;
        Settlement settlement = new Settlement(++lastNumber, request.id(), roster, nowNanos, deadlineNanos);
        openSettlements.put(request.id(), settlement);
        settlement.add(request);
        roster.forEach(agent -> seal(settlement, agent.incarnation(), nowNanos));
        conclude(settlement, nowNanos);
    }

    private void join(Settlement settlement, ForeignRequest request, long nowNanos) {
        if (settlement.conflicts(request)) {
            answers.deliver(request.requester(), Submissions.conflictAnswer());
            return;
        }
        settlement.add(request);
        conclude(settlement, nowNanos);
    }

    private void seal(Settlement settlement, Incarnation agent, long nowNanos) {
        if (agents.isLinked(agent)) {
            sealQueue.add(agent, new Seal(settlement.number(), settlement.id()), nowNanos);
        }
    }

    private void conclude(Settlement settlement, long nowNanos) {
        Optional<JobAnswer> complete = settlement.complete();
        if (complete.isPresent()) {
            end(settlement, complete.get());
        } else if (settlement.expired(nowNanos)) {
            end(settlement, settlement.conclude());
        } else if (allReported(settlement)) {
            concludeReported(settlement);
        }
    }

    private void concludeReported(Settlement settlement) {
        if (settlement.reports().running()) {
            settlement.answerStateRequests(answers, JobAnswer.pending(settlement.id()));
        } else {
            end(settlement, settlement.conclude());
        }
    }

    /** Returns whether every agent has answered, or never will because another incarnation has replaced it. */
    private boolean allReported(Settlement settlement) {
        return settlement.reports().missing().stream().allMatch(agents::isReplaced);
    }

    private void end(Settlement settlement, JobAnswer answer) {
        openSettlements.remove(settlement.id());
        if (answer.outcome().orElseThrow() != Outcome.UNKNOWN) {
            settled.add(settlement.id(), new EndedJob(answer, settlement.job().map(JobDigest::of)));
        }
        settlement.answerAll(answers, answer);
    }

    private void refuse(ForeignRequest request, Reason reason, String detail) {
        JobAnswer answer = JobAnswer.ended(Optional.of(request.id()), Outcome.UNKNOWN, reason, detail);
        answers.deliver(request.requester(), answer.retryAfter(RETRY_AFTER_MILLIS));
    }
}
