package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.knapweedmount.api.message.LeaseScope;

/** The idle leases of one entry for one service, oldest first, and what is asked back of them. */
final class EntryPool {
    /** How long an entry that kept what it was asked for is left alone. */
    static final long RECALL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private int idleAny;
    private int asked;
    private boolean recalled;
    private int lapsedWhileSilent;
    private long recallableFromNanos = Long.MIN_VALUE;

    void add(Lease lease) {
        leases.put(lease.number(), lease);
        idleAny += any(lease);
    }

    Optional<Lease> take(long number) {
        Lease lease = leases.remove(number);
        if (lease != null) {
            idleAny -= any(lease);
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

    private static int any(Lease lease) {
        return lease.scope() == LeaseScope.ANY ? 1 : 0;
    }

    int count(Predicate<Lease> matching) {
        int count = 0;
        for (Lease lease : leases.values()) {
            count += matching.test(lease) ? 1 : 0;
        }
        return count;
    }

    /** Counts the oldest leases that hold the given number of matching ones, since entries give back oldest first. */
    int oldestHolding(int wanted, Predicate<Lease> matching) {
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

    /** Notes how many leases became void while the entry was silent. */
    void lapsedWhileSilent(int count) {
        lapsedWhileSilent = count;
        recalled = false;
    }

    /** Returns how many leases became void while the entry was silent, and forgets it. */
    int takeLapsedWhileSilent() {
        int count = lapsedWhileSilent;
        lapsedWhileSilent = 0;
        return count;
    }

    boolean recallable(long nowNanos) {
        return !recalled && (recallableFromNanos == Long.MIN_VALUE || nowNanos - recallableFromNanos >= 0);
    }

    void recalled(int count, long nowNanos) {
        recalled = true;
        asked = count;
        recallableFromNanos = nowNanos + RECALL_PAUSE_NANOS;
    }

    /** Counts the leases that are asked back and not yet answered for. */
    int pending() {
        return recalled ? asked : 0;
    }

    /** Takes the answer to a recall; an entry that gave less than asked for is left alone for the pause. */
    void answered(int released) {
        if (!recalled) {
            return;
        }
        recalled = false;
        if (released >= asked) {
            recallableFromNanos = Long.MIN_VALUE;
        }
    }

    /** Gives up waiting for an answer when the pause is over. */
    void expireRecall(long nowNanos) {
        if (recalled && nowNanos - recallableFromNanos >= 0) {
            recalled = false;
        }
    }
}
