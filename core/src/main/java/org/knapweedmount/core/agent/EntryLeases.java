package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.knapweedmount.api.message.LeaseScope;

/** The idle leases of one entry for one service, oldest first, and the state of the recall of some of them. */
final class EntryLeases {
    /** Minimum time until the next recall after an entry released fewer leases than requested, in ns. */
    static final long RECALL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private int idleAny;
    private int recallCount;
    private boolean recalled;
    private int revokedWhileUnresponsive;
    private long recallAllowedFromNanos = Long.MIN_VALUE;

    void add(Lease lease) {
        leases.put(lease.number(), lease);
        idleAny += countIfAny(lease);
    }

    Optional<Lease> take(long number) {
        Lease lease = leases.remove(number);
        if (lease != null) {
            idleAny -= countIfAny(lease);
        }
        return Optional.ofNullable(lease);
    }

    Optional<Lease> oldest() {
        return leases.isEmpty()
                ? Optional.empty()
                : Optional.of(leases.values().iterator().next());
    }

    List<Lease> all() {
        return new ArrayList<>(leases.values());
    }

    int idle() {
        return leases.size();
    }

    int idleAny() {
        return idleAny;
    }

    int idle(LeaseScope scope) {
        return scope == LeaseScope.ANY ? idleAny : leases.size() - idleAny;
    }

    private static int countIfAny(Lease lease) {
        return lease.scope() == LeaseScope.ANY ? 1 : 0;
    }

    int count(Predicate<Lease> matching) {
        int count = 0;
        for (Lease lease : leases.values()) {
            count += matching.test(lease) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the number of oldest leases that include a given number of matching ones.
     *
     * <p>A recall names only a number of leases, and entries release the oldest ones first.
     */
    int oldestIncluding(int wanted, Predicate<Lease> matching) {
        int position = 0;
        int found = 0;
        for (Lease lease : leases.values()) {
            if (found == wanted) {
                break;
            }
            position++;
            found += matching.test(lease) ? 1 : 0;
        }
        return position;
    }

    /** Records the number of leases that were revoked because the entry was unresponsive. */
    void revokedWhileUnresponsive(int count) {
        revokedWhileUnresponsive = count;
        recalled = false;
    }

    /** Returns the number of leases that were revoked because the entry was unresponsive, and resets it to 0. */
    int takeRevokedWhileUnresponsive() {
        int count = revokedWhileUnresponsive;
        revokedWhileUnresponsive = 0;
        return count;
    }

    boolean recallable(long nowNanos) {
        return !recalled && (recallAllowedFromNanos == Long.MIN_VALUE || nowNanos - recallAllowedFromNanos >= 0);
    }

    void recalled(int count, long nowNanos) {
        recalled = true;
        recallCount = count;
        recallAllowedFromNanos = nowNanos + RECALL_BACKOFF_NANOS;
    }

    /** Returns the number of leases in the recall that is not answered yet. */
    int pendingRecall() {
        return recalled ? recallCount : 0;
    }

    /** Handles the answer to a recall; the backoff stays in force if fewer leases were released than requested. */
    void recallAnswered(int released) {
        if (!recalled) {
            return;
        }
        recalled = false;
        if (released >= recallCount) {
            recallAllowedFromNanos = Long.MIN_VALUE;
        }
    }

    /** Stops waiting for the answer to a recall when the backoff is over. */
    void expireRecall(long nowNanos) {
        if (recalled && nowNanos - recallAllowedFromNanos >= 0) {
            recalled = false;
        }
    }
}
