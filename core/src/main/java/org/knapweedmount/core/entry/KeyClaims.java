package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;

/**
 * Binds idempotency keys to submission IDs.
 *
 * <p>Unless a caller states that it sends a key for the first time, the key may have been used through another entry.
 * So a refusal before the table service has answered cannot state that nothing was run.
 *
 * <p>An entry without endpoints does not claim keys, so that other entries can. It looks up a repeated key, because
 * another entry may have the answer.
 */
final class KeyClaims {
    private static final int MAX_PENDING_KEYS = 4_096;
    private static final int RETRY_AFTER_MILLIS = 500;

    private final EntryContext context;
    private final PendingAnswers answers;
    private final IdIssuer issuer;
    private final Submissions submissions;
    private final Admission admission;
    private final Map<String, Claim> pendingClaims = new HashMap<>();
    private final Map<String, SubmissionId> claimedIds;
    private final Map<String, LookUp> pendingLookUps = new HashMap<>();
    private long waitingBytes;

    /** Submits a job under the ID that its key is bound to. */
    interface Continuation {
        /** Submits the job under the ID. */
        void submit(SubmissionId id, JobRequest request, long nowNanos);
    }

    /**
     * A request that waits for a claim or a look-up.
     *
     * @param request the request
     * @param firstAttempt true if the caller states that it has not sent the key before
     */
    private record WaitingRequest(JobRequest request, boolean firstAttempt) {
        Outcome refusalOutcome() {
            return firstAttempt ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        }
    }

    /**
     * A claim that has not been answered.
     *
     * @param proposed the ID that the key is to be bound to
     * @param waiting the requests with the key, at least one
     */
    private record Claim(SubmissionId proposed, List<WaitingRequest> waiting) {}

    /**
     * A look-up that has not been answered, of a key that cannot be claimed now.
     *
     * @param refusal the answer if no ID is found for the key
     * @param waiting the requests with the key, at least one
     */
    private record LookUp(Refusal refusal, List<WaitingRequest> waiting) {}

    KeyClaims(
            EntryContext context,
            PendingAnswers answers,
            IdIssuer issuer,
            Submissions submissions,
            Admission admission) {
        this.context = context;
        this.answers = answers;
        this.issuer = issuer;
        this.submissions = submissions;
        this.admission = admission;
        int maxClaimedIds = context.limits().maxEndedJobs();
        this.claimedIds = new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, SubmissionId> eldest) {
                return size() > maxClaimedIds;
            }
        };
    }

    boolean isEmpty() {
        return pendingClaims.isEmpty() && pendingLookUps.isEmpty();
    }

    /** Returns the name under which a team's idempotency key is claimed. */
    static String claimName(String team, String key) {
        return team + "/" + key;
    }

    /** Returns the ID that a key is bound to, empty if this entry does not remember it. */
    Optional<SubmissionId> find(String name) {
        return Optional.ofNullable(claimedIds.get(name));
    }

    void submit(String key, boolean firstAttempt, JobRequest request, Continuation continuation, long nowNanos) {
        String name = claimName(request.job().team(), key);
        Optional<SubmissionId> claimedId = find(name);
        if (claimedId.isPresent()) {
            continuation.submit(claimedId.get(), request, nowNanos);
            return;
        }
        WaitingRequest waiting = new WaitingRequest(request, firstAttempt);
        Claim claim = pendingClaims.get(name);
        if (claim != null) {
            join(claim, waiting);
            return;
        }
        Optional<Refusal> refusal = check(request, nowNanos);
        if (refusal.isEmpty()) {
            claim(name, waiting);
        } else if (mayBeClaimedByOtherEntry(refusal.get(), waiting)) {
            lookUp(name, refusal.get(), waiting);
        } else {
            refuse(waiting, refusal.get());
        }
    }

    /** Returns whether an earlier attempt at a refused request may have claimed its key through another entry. */
    private boolean mayBeClaimedByOtherEntry(Refusal refusal, WaitingRequest waiting) {
        return refusal.reason() == Reason.NO_ENDPOINT
                && !waiting.firstAttempt()
                && pendingLookUps.size() < MAX_PENDING_KEYS;
    }

    private void lookUp(String name, Refusal refusal, WaitingRequest waiting) {
        boolean first = !pendingLookUps.containsKey(name);
        pendingLookUps
                .computeIfAbsent(name, unused -> new LookUp(refusal, new ArrayList<>(1)))
                .waiting()
                .add(waiting);
        waitingBytes += bodyBytes(waiting);
        if (first) {
            context.output().lookUp(name);
        }
    }

    /** Handles the result of a look-up, empty if the key was not claimed or could not be looked up. */
    void lookUpCompleted(String name, Optional<SubmissionId> claimedId, Continuation continuation, long nowNanos) {
        LookUp lookUp = pendingLookUps.remove(name);
        if (lookUp == null) {
            return;
        }
        lookUp.waiting().forEach(waiting -> waitingBytes -= bodyBytes(waiting));
        claimedId.ifPresent(id -> claimedIds.put(name, id));
        for (WaitingRequest waiting : lookUp.waiting()) {
            if (claimedId.isPresent()) {
                continuation.submit(claimedId.get(), waiting.request(), nowNanos);
            } else {
                refuse(waiting, lookUp.refusal());
            }
        }
    }

    private void refuse(WaitingRequest waiting, Refusal refusal) {
        context.counters().increment(EntryCounter.REFUSED);
        answers.deliver(waiting.request().requester(), refusal.answer(Optional.empty(), waiting.refusalOutcome()));
    }

    /** Handles the result of a claim. */
    void claimCompleted(
            String name, SubmissionId proposed, ClaimResult result, Continuation continuation, long nowNanos) {
        Claim claim = pendingClaims.get(name);
        if (claim == null || !claim.proposed().equals(proposed)) {
            return;
        }
        pendingClaims.remove(name);
        claim.waiting().forEach(waiting -> waitingBytes -= bodyBytes(waiting));
        if (result.claimedId().isEmpty()) {
            refuse(claim);
            return;
        }
        SubmissionId claimedId = result.claimedId().get();
        claimedIds.put(name, claimedId);
        if (!claimedId.equals(proposed)) {
            issuer.markUsed(proposed);
        }
        claim.waiting().forEach(waiting -> continuation.submit(claimedId, waiting.request(), nowNanos));
    }

    private void join(Claim claim, WaitingRequest waiting) {
        JobRequest first = claim.waiting().get(0).request();
        if (first.job().equals(waiting.request().job())) {
            add(claim, waiting);
        } else {
            context.counters().increment(EntryCounter.REFUSED);
            answers.deliver(waiting.request().requester(), Submissions.conflictAnswer());
        }
    }

    private Optional<Refusal> check(JobRequest request, long nowNanos) {
        if (pendingClaims.size() >= MAX_PENDING_KEYS
                || waitingBytes > context.limits().maxQueuedBytes()) {
            int millis = admission.jitteredRetryAfterMillis(RETRY_AFTER_MILLIS);
            return Optional.of(new Refusal(Reason.OVERLOADED, "too many idempotency keys are being claimed", millis));
        }
        return submissions.check(request, Integer.MAX_VALUE, nowNanos);
    }

    private void claim(String name, WaitingRequest waiting) {
        Claim claim = new Claim(issuer.issue(), new ArrayList<>(1));
        add(claim, waiting);
        pendingClaims.put(name, claim);
        context.output().claim(name, claim.proposed());
    }

    private void add(Claim claim, WaitingRequest waiting) {
        claim.waiting().add(waiting);
        waitingBytes += bodyBytes(waiting);
    }

    private void refuse(Claim claim) {
        Refusal refusal = new Refusal(
                Reason.STORE_UNAVAILABLE,
                "the table service did not confirm the claim of the key",
                admission.jitteredRetryAfterMillis(RETRY_AFTER_MILLIS));
        Optional<SubmissionId> id = Optional.of(claim.proposed());
        JobAnswer answer = refusal.answer(id, Outcome.NOT_RUN);
        submissions.endWithoutStart(claim.proposed(), answer);
        claim.waiting().forEach(waiting -> refuse(waiting, refusal));
    }

    private static long bodyBytes(WaitingRequest waiting) {
        return waiting.request().job().tasks().stream()
                .mapToLong(task -> task.body().size())
                .sum();
    }
}
