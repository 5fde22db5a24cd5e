package org.knapweedmount.core.agent;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.LeaseScope;

/** Distributes the free slots of a service: first to meet reported demand, then ahead of demand. */
final class SlotDistributor {
    private final EntryTable entries;
    private final AgentContext context;

    SlotDistributor(EntryTable entries, AgentContext context) {
        this.entries = entries;
        this.context = context;
    }

    /**
     * Grants every free slot that an entry may take.
     *
     * @param ended the task whose end freed a slot; its entry is preferred for a lease ahead of demand if that is fair
     * @return the grants to send
     */
    List<GrantBatch.AddressedGrant> distribute(ServicePool pool, Optional<RunningTask> ended, long nowNanos) {
        int free = pool.free();
        if (free <= 0) {
            context.invariants().check(free == 0, "idle leases do not exceed the open slots");
            return List.of();
        }
        GrantBatch batch = new GrantBatch(pool.service());
        int left = free;
        if (!pool.flows().backlogged().isEmpty()) {
            SlotLimits limits = SlotLimits.of(pool.policy(), pool.flows(), pool.slots(), nowNanos);
            left = serveDemand(pool, batch, limits, left, nowNanos);
            left = grantToSameFlow(pool, batch, limits, left, ended, nowNanos);
        }
        grantAheadOfDemand(pool, batch, left, ended, nowNanos);
        int open = pool.openSlots();
        return batch.grants(entry -> open - pool.idleLeases().idle(entry));
    }

    private int serveDemand(ServicePool pool, GrantBatch batch, SlotLimits limits, int free, long nowNanos) {
        int left = free;
        while (left > 0) {
            Optional<Arbiter.Selection> selection =
                    pool.arbiter().selectNext(limits, pool.longHeld(), entries::reachable, pool::fits);
            if (selection.isEmpty()) {
                break;
            }
            FlowState flow = selection.get().flow();
            pool.grant(batch, selection.get().entry(), scope(pool, flow), Optional.of(flow), left, nowNanos);
            left--;
        }
        return left;
    }

    /**
     * Grants the slot of an ended task to the same flow, if its entry has a backlog of another flow that may not take
     * the slot. The entry would use a lease without a flow for that backlog at once.
     */
    private int grantToSameFlow(
            ServicePool pool,
            GrantBatch batch,
            SlotLimits limits,
            int free,
            Optional<RunningTask> ended,
            long nowNanos) {
        if (free == 0 || ended.isEmpty()) {
            return free;
        }
        Incarnation entry = ended.get().entry();
        FlowState flow = ended.get().flow();
        boolean unneeded = pool.flows().isBacklogged(flow)
                || !backloggedEntries(pool, LeaseScope.ANY).contains(entry);
        boolean acceptsLeases =
                entries.find(entry).map(EntryLink::acceptsIdleLeases).orElse(false);
        if (unneeded
                || !acceptsLeases
                || limits.remainingSlots(flow, pool.flows(), pool.longHeld()) == 0
                || !pool.fits(flow)) {
            return free;
        }
        pool.grant(batch, entry, scope(pool, flow), Optional.of(flow), free, nowNanos);
        return free - 1;
    }

    private static LeaseScope scope(ServicePool pool, FlowState flow) {
        return pool.policy().kind(flow.flow().kind()).shortTask() ? LeaseScope.SHORT_ONLY : LeaseScope.ANY;
    }

    private void grantAheadOfDemand(
            ServicePool pool, GrantBatch batch, int free, Optional<RunningTask> ended, long nowNanos) {
        if (free == 0) {
            return;
        }
        int longLimit = pool.policy().longLimit(pool.slots());
        Set<Incarnation> backloggedAny = backloggedEntries(pool, LeaseScope.ANY);
        Set<Incarnation> backloggedShort = backloggedEntries(pool, LeaseScope.SHORT_ONLY);
        Optional<Incarnation> preferred = ended.map(RunningTask::entry);
        for (int left = free; left > 0; left--) {
            LeaseScope scope = pool.longHeld() < longLimit ? LeaseScope.ANY : LeaseScope.SHORT_ONLY;
            Set<Incarnation> excluded = scope == LeaseScope.ANY ? backloggedAny : backloggedShort;
            Optional<Incarnation> entry = leastIdleEntry(pool, scope, excluded, preferred);
            if (entry.isEmpty()) {
                return;
            }
            pool.grant(batch, entry.get(), scope, Optional.empty(), left, nowNanos);
        }
    }

    /**
     * Returns the entries with a backlogged flow that may use leases of a scope.
     *
     * <p>They would use a lease without a flow for it at once, although the limits keep that flow from another slot.
     */
    private static Set<Incarnation> backloggedEntries(ServicePool pool, LeaseScope scope) {
        Set<Incarnation> backlogged = new HashSet<>();
        for (FlowState flow : pool.flows().backlogged()) {
            if (scope.admits(pool.policy().kind(flow.flow().kind()))) {
                flow.addBackloggedEntries(backlogged);
            }
        }
        return backlogged;
    }

    private Optional<Incarnation> leastIdleEntry(
            ServicePool pool, LeaseScope scope, Set<Incarnation> excluded, Optional<Incarnation> preferred) {
        EntryLink least = null;
        int leastIdle = Integer.MAX_VALUE;
        int preferredIdle = Integer.MAX_VALUE;
        for (EntryLink link : entries.all()) {
            if (!link.acceptsIdleLeases() || excluded.contains(link.entry())) {
                continue;
            }
            int idle = pool.idleLeases().entryLeases(link.entry()).idle(scope);
            if (preferred.isPresent() && link.entry().equals(preferred.get())) {
                preferredIdle = idle;
            }
            if (least == null || idle < leastIdle || (idle == leastIdle && link.tieBreaker() < least.tieBreaker())) {
                least = link;
                leastIdle = idle;
            }
        }
        boolean fair = preferredIdle != Integer.MAX_VALUE && preferredIdle <= leastIdle + 1;
        return fair ? preferred : Optional.ofNullable(least).map(EntryLink::entry);
    }
}
