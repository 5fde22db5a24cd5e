package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.message.RelayRequest;

/** Routes each request to the component that can answer it. */
final class RequestRouter {
    private final EntryContext context;
    private final PendingAnswers answers;
    private final Submissions submissions;
    private final KeyClaims claims;
    private final RequestRelay relay;
    private final Settlements settlements;

    RequestRouter(
            EntryContext context,
            PendingAnswers answers,
            Submissions submissions,
            KeyClaims claims,
            RequestRelay relay,
            Settlements settlements) {
        this.context = context;
        this.answers = answers;
        this.submissions = submissions;
        this.claims = claims;
        this.relay = relay;
        this.settlements = settlements;
    }

    void submit(Requester requester, SubmissionRequest request, long nowNanos) {
        JobRequest job = new JobRequest(requester, request.service(), request.job(), request.awaitEnd());
        if (request.id().isPresent()) {
            submit(request.id().get(), job, nowNanos);
        } else if (request.key().isPresent()) {
            claims.submit(request.key().get(), request.firstAttempt(), job, this::submitClaimed, nowNanos);
        } else {
            submissions.submitNew(job, nowNanos);
        }
    }

    /** Handles the result of a claim. */
    void claimCompleted(String key, SubmissionId proposed, ClaimResult result, long nowNanos) {
        claims.claimCompleted(key, proposed, result, this::submitClaimed, nowNanos);
    }

    /** Handles the result of a look-up. */
    void lookUpCompleted(String key, Optional<SubmissionId> claimedId, long nowNanos) {
        claims.lookUpCompleted(key, claimedId, this::submitClaimed, nowNanos);
    }

    void status(SubmissionId id, Requester requester, boolean awaitEnd, long nowNanos) {
        if (!isIssuedHere(id)) {
            relay.resolve(ForeignRequest.status(id, requester, awaitEnd), nowNanos);
        } else if (submissions.isUnresolved(id)) {
            settlements.settle(ForeignRequest.status(id, requester, awaitEnd), nowNanos);
        } else {
            submissions.status(id, requester, awaitEnd);
        }
    }

    void cancel(SubmissionId id, Requester requester, long nowNanos) {
        if (isIssuedHere(id)) {
            submissions.cancel(id, requester, nowNanos);
        } else {
            relay.resolve(ForeignRequest.cancel(id, requester), nowNanos);
        }
    }

    /**
     * Handles a request that another entry has relayed.
     *
     * <p>An entry of the local region relays to the issuer only. One of another region may relay to any entry of the
     * issuer's region; its requests are not relayed to a further region, which prevents loops.
     */
    void relayed(Incarnation from, RelayRequest request, boolean fromOtherRegion, long nowNanos) {
        Requester requester = Requester.peer(from, request.request());
        SubmissionId id = request.submission();
        if (!answers.isPending(requester)) {
            answers.register(requester);
            relayed(requester, id, request, fromOtherRegion, nowNanos);
        }
    }

    private void relayed(
            Requester requester, SubmissionId id, RelayRequest request, boolean fromOtherRegion, long nowNanos) {
        if (!isIssuedHere(id) && fromOtherRegion) {
            relay.resolveInRegion(ForeignRequest.relayed(requester, request), nowNanos);
        } else if (!isIssuedHere(id)) {
            answers.deliver(
                    requester,
                    JobAnswer.ended(
                            Optional.of(id),
                            Outcome.UNKNOWN,
                            Reason.CONNECTION_LOST,
                            "the ID was issued by another entry"));
        } else if (request.operation() == RelayRequest.Operation.CANCEL) {
            cancel(id, requester, nowNanos);
        } else if (request.job().isPresent()) {
            JobSpec job = request.job().get();
            submit(id, new JobRequest(requester, serviceName(job), job, request.awaitEnd()), nowNanos);
        } else {
            status(id, requester, request.awaitEnd(), nowNanos);
        }
    }

    private void submit(SubmissionId id, JobRequest request, long nowNanos) {
        if (isIssuedHere(id) && !submissions.isUnresolved(id)) {
            submissions.submit(id, request, nowNanos);
        } else {
            relayOrSettle(id, request, nowNanos);
        }
    }

    private void submitClaimed(SubmissionId id, JobRequest request, long nowNanos) {
        if (isIssuedHere(id) && !submissions.isUnresolved(id)) {
            submissions.submitClaimed(id, request, nowNanos);
        } else {
            relayOrSettle(id, request, nowNanos);
        }
    }

    private void relayOrSettle(SubmissionId id, JobRequest request, long nowNanos) {
        if (!isIssuedHere(id)) {
            relay.resolve(ForeignRequest.submit(id, request), nowNanos);
        } else if (submissions.conflicts(id, request.job())) {
            answers.deliver(request.requester(), Submissions.conflictAnswer());
        } else {
            settlements.settle(ForeignRequest.submit(id, request), nowNanos);
        }
    }

    private String serviceName(JobSpec job) {
        return context.config()
                .kind(job.tasks().get(0).kind())
                .map(KindConfig::service)
                .orElse("");
    }

    private boolean isIssuedHere(SubmissionId id) {
        return id.issuer().equals(context.self());
    }
}
