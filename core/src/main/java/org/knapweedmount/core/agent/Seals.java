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
 * The submissions of which no further task is started, in bounded memory.
 *
 * <p>When there is no room for another seal, the older half of the seals of one issuer is replaced by a bound: nothing
 * of the issuer up to that sequence number is started any more. This refuses more than was asked for, never less, so
 * every seal that was answered with certainty stays true. The issuer with the most seals is taken, and a linked one only
 * if the others have none; the bound of a linked issuer stays below what it is known to have issued, so that an id that
 * nobody issued cannot close the gate to all its later work.
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
     * @param maxSeals the number of seals that are remembered one by one
     * @param linked tells whether an entry is linked
     * @param counters what is counted
     */
    Seals(int maxSeals, Predicate<Incarnation> linked, Counters<AgentCounter> counters) {
        this.maxSeals = maxSeals;
        this.linked = linked;
        this.counters = counters;
    }

    /**
     * Seals a submission for good.
     *
     * @return false if there is no room to remember it
     */
    boolean seal(SubmissionId submission) {
        if (contains(submission)) {
            return true;
        }
        Optional<IssuerSeals> issuer = obtain(submission.issuer());
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

    /** Takes note that a linked entry has issued an id. */
    void issued(SubmissionId submission) {
        obtain(submission.issuer()).ifPresent(issuer -> issuer.issued(submission.sequence()));
    }

    /** Counts the seals that are remembered one by one. */
    int size() {
        return size;
    }

    private Optional<IssuerSeals> obtain(Incarnation issuer) {
        IssuerSeals present = issuers.get(issuer);
        if (present != null) {
            return Optional.of(present);
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

    /** Finds the issuer with the most seals that a bound may replace, among those that are linked or not. */
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
