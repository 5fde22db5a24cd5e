package org.knapweedmount.core.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.core.metric.Counters;

/**
 * The sealed submissions, of which no further task is started, in bounded memory.
 *
 * <p>When there is no room for another seal, the lower half of the seals of one issuer is folded into a bound: no task
 * of that issuer's submissions up to this sequence number is started any more. A bound refuses a superset of the sealed
 * submissions, so every seal that was confirmed remains in force. The issuer with the most seals is chosen, a linked
 * one only if the others have no seals. The bound of a linked issuer never exceeds the sequence numbers that it is
 * known to have issued, so that a forged ID cannot block all its later submissions.
 */
final class Seals {
    static final int MAX_ISSUERS = 4_096;

    private final int maxSeals;
    private final Predicate<Incarnation> linked;
    private final Counters<AgentCounter> counters;
    private final Map<Incarnation, IssuerSeals> issuers = new LinkedHashMap<>();
    private int size;

    /**
     * Creates a table without seals.
     *
     * @param maxSeals the maximum number of seals that are kept individually
     * @param linked accepts the entries that are linked
     * @param counters the counters to update
     */
    Seals(int maxSeals, Predicate<Incarnation> linked, Counters<AgentCounter> counters) {
        this.maxSeals = maxSeals;
        this.linked = linked;
        this.counters = counters;
    }

    /**
     * Seals a submission permanently.
     *
     * @return false if there is no room to record the seal
     */
    boolean seal(SubmissionId submission) {
        if (contains(submission)) {
            return true;
        }
        Optional<IssuerSeals> issuer = findOrAdd(submission.issuer());
        if (issuer.isEmpty() || !makeRoom()) {
            return false;
        }
        if (!issuer.get().contains(submission.sequence())) {
            issuer.get().add(submission.sequence());
            size++;
        }
        return true;
    }

    boolean contains(SubmissionId submission) {
        IssuerSeals issuer = issuers.get(submission.issuer());
        return issuer != null && issuer.contains(submission.sequence());
    }

    /** Records that a linked entry has issued an ID. */
    void issued(SubmissionId submission) {
        findOrAdd(submission.issuer()).ifPresent(issuer -> issuer.issued(submission.sequence()));
    }

    /** Returns the number of seals that are kept individually. */
    int size() {
        return size;
    }

    private Optional<IssuerSeals> findOrAdd(Incarnation issuer) {
        IssuerSeals existing = issuers.get(issuer);
        if (existing != null) {
            return Optional.of(existing);
        }
        if (issuers.size() >= MAX_ISSUERS && !dropIssuerWithoutSeals()) {
            return Optional.empty();
        }
        IssuerSeals added = new IssuerSeals();
        issuers.put(issuer, added);
        return Optional.of(added);
    }

    private boolean dropIssuerWithoutSeals() {
        Iterator<Map.Entry<Incarnation, IssuerSeals>> iterator =
                issuers.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Incarnation, IssuerSeals> issuer = iterator.next();
            if (issuer.getValue().neverSealed() && !linked.test(issuer.getKey())) {
                iterator.remove();
                return true;
            }
        }
        return false;
    }

    private boolean makeRoom() {
        if (size < maxSeals) {
            return true;
        }
        return fold(false) || fold(true);
    }

    private boolean fold(boolean ofLinked) {
        Optional<IssuerSeals> largest = largest(ofLinked);
        if (largest.isEmpty()) {
            return false;
        }
        int folded = largest.get().fold(ofLinked);
        size -= folded;
        counters.add(AgentCounter.FOLDED_SEALS, folded);
        return true;
    }

    /** Finds the issuer with the most foldable seals among the linked or the unlinked issuers. */
    private Optional<IssuerSeals> largest(boolean ofLinked) {
        IssuerSeals largest = null;
        int most = 0;
        for (Map.Entry<Incarnation, IssuerSeals> issuer : issuers.entrySet()) {
            if (linked.test(issuer.getKey()) != ofLinked) {
                continue;
            }
            int foldable = issuer.getValue().foldable(ofLinked);
            if (foldable > most) {
                most = foldable;
                largest = issuer.getValue();
            }
        }
        return Optional.ofNullable(largest);
    }
}
