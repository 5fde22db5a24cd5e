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
 * Finds the ids that callers' own keys stand for.
 *
 * <p>Unless a caller states that it sends a key for the first time, the key may have been used through another entry. So
 * as long as the table service has not been asked, a refusal cannot say that nothing was run.
 *
 * <p>An entry without endpoints does not claim keys, so that they stay free for other entries. It looks up what a repeated
 * key stands for, because another entry may have the answer.
 */
final class KeyClaims {
    private static final int MAX_PENDING = 4_096;
    private static final int RETRY_MILLIS = 500;

    private final EntryContext context;
    private final Answers answers;
    private final IdIssuer issuer;
    private final Submissions submissions;
    private final Admission admission;
    private final Map<String, Claim> pending = new HashMap<>();
    private final Map<String, SubmissionId> known;
    private final Map<String, LookUp> lookUps = new HashMap<>();
    private long pendingBytes;

    /** Runs a job under the id that its key stands for. */
    interface Continuation {
        /** Submits the job. */
        void submit(SubmissionId id, JobRequest request, long nowNanos);
    }

    /**
     * A request that waits for a claim.
     *
     * @param request the request
     * @param firstAttempt true if the caller states that it has not sent the key before
     */
    private record Waiting(JobRequest request, boolean firstAttempt) {
        Outcome outcomeOfRefusal() {
            return firstAttempt ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        }
    }

    /**
     * A claim that has not been answered.
     *
     * @param proposed the id that the key is to stand for
     * @param waiting the requests with the key, at least one
     */
    private record Claim(SubmissionId proposed, List<Waiting> waiting) {}

    /**
     * A key that is being looked up, because it may not be claimed now.
     *
     * @param refusal the answer if the key is not known to stand for an id
     * @param waiting the requests with the key, at least one
     */
    private record LookUp(Refusal refusal, List<Waiting> waiting) {}

    KeyClaims(EntryContext context, Answers answers, IdIssuer issuer, Submissions submissions, Admission admission) {
        this.context = context;
        this.answers = answers;
        this.issuer = issuer;
        this.submissions = submissions;
        this.admission = admission;
        int maxKnown = context.limits().maxEndedJobs();
        this.known = new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, SubmissionId> eldest) {
                return size() > maxKnown;
            }
        };
    }

    boolean isEmpty() {
        return pending.isEmpty() && lookUps.isEmpty();
    }

    /** Returns what is claimed for a caller's own key. */
    static String name(String team, String key) {
        return team + "/" + key;
    }

    /** Returns the id that a key stands for, empty if this entry does not know. */
    Optional<SubmissionId> find(String name) {
        return Optional.ofNullable(known.get(name));
    }

    void submit(String key, boolean firstAttempt, JobRequest request, Continuation continuation, long nowNanos) {
        String name = name(request.job().team(), key);
        Optional<SubmissionId> holder = find(name);
        if (holder.isPresent()) {
            continuation.submit(holder.get(), request, nowNanos);
            return;
        }
        Waiting waiting = new Waiting(request, firstAttempt);
        Claim claim = pending.get(name);
        if (claim != null) {
            join(claim, waiting);
            return;
        }
        Optional<Refusal> refusal = check(request, nowNanos);
        if (refusal.isEmpty()) {
            claim(name, waiting);
        } else if (mayBeElsewhere(refusal.get(), waiting)) {
            lookUp(name, refusal.get(), waiting);
        } else {
            refuse(waiting, refusal.get());
        }
    }

    /** Tells whether a request that this entry cannot run is worth a question for an earlier attempt. */
    private boolean mayBeElsewhere(Refusal refusal, Waiting waiting) {
        return refusal.reason() == Reason.NO_ENDPOINT && !waiting.firstAttempt() && lookUps.size() < MAX_PENDING;
    }

    private void lookUp(String name, Refusal refusal, Waiting waiting) {
        boolean first = !lookUps.containsKey(name);
        lookUps.computeIfAbsent(name, unused -> new LookUp(refusal, new ArrayList<>(1)))
                .waiting()
                .add(waiting);
        pendingBytes += bytes(waiting);
        if (first) {
            context.output().lookUp(name);
        }
    }

    /** Takes what a key stands for; empty if it was not claimed or could not be looked up. */
    void lookedUp(String name, Optional<SubmissionId> holder, Continuation continuation, long nowNanos) {
        LookUp lookUp = lookUps.remove(name);
        if (lookUp == null) {
            return;
        }
        lookUp.waiting().forEach(waiting -> pendingBytes -= bytes(waiting));
        holder.ifPresent(id -> known.put(name, id));
        for (Waiting waiting : lookUp.waiting()) {
            if (holder.isPresent()) {
                continuation.submit(holder.get(), waiting.request(), nowNanos);
            } else {
                refuse(waiting, lookUp.refusal());
            }
        }
    }

    private void refuse(Waiting waiting, Refusal refusal) {
        context.counters().increment(EntryCounter.REFUSED);
        answers.deliver(waiting.request().requester(), refusal.answer(Optional.empty(), waiting.outcomeOfRefusal()));
    }

    /** Takes the result of a claim. */
    void claimed(String name, SubmissionId proposed, ClaimResult result, Continuation continuation, long nowNanos) {
        Claim claim = pending.get(name);
        if (claim == null || !claim.proposed().equals(proposed)) {
            return;
        }
        pending.remove(name);
        claim.waiting().forEach(waiting -> pendingBytes -= bytes(waiting));
        if (result.claimedId().isEmpty()) {
            refuse(claim);
            return;
        }
        SubmissionId holder = result.claimedId().get();
        known.put(name, holder);
        if (!holder.equals(proposed)) {
            issuer.use(proposed);
        }
        claim.waiting().forEach(waiting -> continuation.submit(holder, waiting.request(), nowNanos));
    }

    private void join(Claim claim, Waiting waiting) {
        JobRequest first = claim.waiting().get(0).request();
        if (first.job().equals(waiting.request().job())) {
            add(claim, waiting);
        } else {
            context.counters().increment(EntryCounter.REFUSED);
            answers.deliver(waiting.request().requester(), Submissions.conflict());
        }
    }

    private Optional<Refusal> check(JobRequest request, long nowNanos) {
        if (pending.size() >= MAX_PENDING || pendingBytes > context.limits().maxQueuedBytes()) {
            int millis = admission.spread(RETRY_MILLIS);
            return Optional.of(new Refusal(Reason.OVERLOADED, "too many keys are being claimed", millis));
        }
        return submissions.check(request, Integer.MAX_VALUE, nowNanos);
    }

    private void claim(String name, Waiting waiting) {
        Claim claim = new Claim(issuer.issue(), new ArrayList<>(1));
        add(claim, waiting);
        pending.put(name, claim);
        context.output().claim(name, claim.proposed());
    }

    private void add(Claim claim, Waiting waiting) {
        claim.waiting().add(waiting);
        pendingBytes += bytes(waiting);
    }

    private void refuse(Claim claim) {
        Refusal refusal =
                new Refusal(Reason.STORE_UNAVAILABLE, "the key could not be claimed", admission.spread(RETRY_MILLIS));
        Optional<SubmissionId> id = Optional.of(claim.proposed());
        JobAnswer never = refusal.answer(id, Outcome.NOT_RUN);
        submissions.endUnstarted(claim.proposed(), never);
        claim.waiting().forEach(waiting -> refuse(waiting, refusal));
    }

    private static long bytes(Waiting waiting) {
        return waiting.request().job().tasks().stream()
                .mapToLong(task -> task.body().size())
                .sum();
    }
}
