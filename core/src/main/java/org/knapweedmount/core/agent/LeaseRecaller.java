package org.knapweedmount.core.agent;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Recall;

/** Recalls idle leases from entries when other entries or flows can use them. */
final class LeaseRecaller {
    /** Idle time after which a lease that is bound to a flow is recalled, in ns. */
    static final long STALE_LEASE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EntryTable entries;
    private final AgentContext context;

    LeaseRecaller(EntryTable entries, AgentContext context) {
        this.entries = entries;
        this.context = context;
    }

    /** Recalls as many idle leases as the backlogged flows may use but lack. */
    void recall(ServicePool pool, long nowNanos) {
        if (pool.flows().backlogged().isEmpty() || pool.idleLeases().idle() == 0) {
            return;
        }
        SlotLimits limits = SlotLimits.of(pool.policy(), pool.flows(), pool.slots(), nowNanos);
        int longHeld = pool.flows().runningLong();
        int shortage = -pool.idleLeases().pendingRecalls();
        Set<Incarnation> waiting = new HashSet<>();
        boolean longOnly = true;
        for (FlowState flow : pool.flows().backlogged()) {
            flow.addBackloggedEntries(waiting);
            int remaining = pool.fits(flow) ? limits.remainingSlots(flow, pool.flows(), longHeld) : 0;
            int wanted = Math.min(remaining, flow.unleasedTasks(entries::reachable));
            shortage += wanted;
            longOnly &= wanted == 0 || !pool.policy().kind(flow.flow().kind()).shortTask();
        }
        boolean anyOnly = longOnly && pool.longHeld() >= limits.longLimit();
        requestRelease(
                pool,
                shortage,
                lease -> recallable(lease, waiting, nowNanos) && (!anyOnly || lease.scope() == LeaseScope.ANY),
                nowNanos);
    }

    /**
     * Returns whether a lease may be recalled; an entry with unmet demand is about to use its leases without a flow.
     */
    private static boolean recallable(Lease lease, Set<Incarnation> waiting, long nowNanos) {
        if (lease.flow().isEmpty()) {
            return !waiting.contains(lease.entry());
        }
        return !lease.hasQueuedTask() || stale(lease, nowNanos);
    }

    private static boolean stale(Lease lease, long nowNanos) {
        return lease.flow().isPresent() && nowNanos - lease.grantedNanos() >= STALE_LEASE_NANOS;
    }

    private void requestRelease(ServicePool pool, int shortage, Predicate<Lease> matching, long nowNanos) {
        int left = shortage;
        while (left > 0) {
            Incarnation most = null;
            int mostIdle = 0;
            for (Map.Entry<Incarnation, EntryLeases> entry :
                    pool.idleLeases().leasesByEntry().entrySet()) {
                int idle =
                        entry.getValue().recallable(nowNanos) ? entry.getValue().count(matching) : 0;
                if (idle > mostIdle) {
                    most = entry.getKey();
                    mostIdle = idle;
                }
            }
            if (most == null) {
                return;
            }
            int wanted = Math.min(left, mostIdle);
            requestRelease(pool, most, wanted, matching, nowNanos);
            left -= wanted;
        }
    }

    private void requestRelease(
            ServicePool pool, Incarnation entry, int wanted, Predicate<Lease> matching, long nowNanos) {
        EntryLeases leases = pool.idleLeases().entryLeases(entry);
        int count = leases.oldestIncluding(wanted, matching);
        leases.recalled(count, nowNanos);
        context.counters().increment(AgentCounter.RECALLS);
        context.output().send(entry, new Recall(pool.service(), count));
    }

    /** Recalls idle leases from the entry with the most, so that entries linked later get an even share. */
    void rebalance(ServicePool pool, long nowNanos) {
        Incarnation most = null;
        int mostIdle = 0;
        int leastIdle = Integer.MAX_VALUE;
        for (EntryLink link : entries.all()) {
            if (!link.acceptsIdleLeases()) {
                continue;
            }
            EntryLeases leases = pool.idleLeases().entryLeases(link.entry());
            leastIdle = Math.min(leastIdle, leases.idle());
            if (leases.recallable(nowNanos) && leases.idle() > mostIdle) {
                most = link.entry();
                mostIdle = leases.idle();
            }
        }
        int excess = most == null ? 0 : (mostIdle - leastIdle) / 2;
        if (excess > 0 && pool.free() <= 0) {
            requestRelease(pool, most, excess, lease -> recallable(lease, Set.of(), nowNanos), nowNanos);
        }
    }

    /** Recalls leases that stayed idle because the demand that they were granted for no longer exists. */
    void recallStale(ServicePool pool, long nowNanos) {
        for (Map.Entry<Incarnation, EntryLeases> entry :
                pool.idleLeases().leasesByEntry().entrySet()) {
            EntryLeases leases = entry.getValue();
            leases.expireRecall(nowNanos);
            int stale = leases.count(lease -> stale(lease, nowNanos));
            if (stale > 0 && leases.recallable(nowNanos)) {
                requestRelease(pool, entry.getKey(), stale, lease -> stale(lease, nowNanos), nowNanos);
            }
        }
    }
}
