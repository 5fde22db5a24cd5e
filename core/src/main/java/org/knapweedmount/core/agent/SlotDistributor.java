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
    List<GrantPlan.Addressed> distribute(ServicePool pool, Optional<RunningTask> ended, long nowNanos) {
        int free = pool.free();
        if (free <= 0) {
            context.invariants().check(free == 0, "idle leases do not exceed the open slots");
            return List.of();
        }
        GrantPlan plan = new GrantPlan(pool.service());
        int left = free;
        if (!pool.flows().backlogged().isEmpty()) {
            SlotLimits limits = SlotLimits.of(pool.policy(), pool.flows(), pool.slots(), nowNanos);
            left = serveDemand(pool, plan, limits, left, nowNanos);
            left = keep(pool, plan, limits, left, ended, nowNanos);
        }
        spread(pool, plan, left, ended, nowNanos);
        int open = pool.openSlots();
        return plan.grants(entry -> open - pool.idleLeases().idle(entry));
    }

    private int serveDemand(ServicePool pool, GrantPlan plan, SlotLimits limits, int free, long nowNanos) {
        int left = free;
        while (left > 0) {
            Optional<Arbiter.Selection> selection =
                    pool.arbiter().selectNext(limits, pool.longHeld(), entries::reachable, pool::fits);
            if (selection.isEmpty()) {
                break;
            }
            FlowState flow = selection.get().flow();
            pool.grant(plan, selection.get().entry(), scope(pool, flow), Optional.of(flow), left, nowNanos);
            left--;
        }
        return left;
    }

    /**
     * Grants the slot of an ended task to the same flow, if its entry has a backlog of another flow that may not take
     * the slot. The entry would use a lease without a flow for that backlog at once.
     */
    private int keep(
            ServicePool pool, GrantPlan plan, SlotLimits limits, int free, Optional<RunningTask> ended, long nowNanos) {
        if (free == 0 || ended.isEmpty()) {
            return free;
        }
        Incarnation entry = ended.get().entry();
        FlowState flow = ended.get().flow();
        boolean wanted =
                pool.flows().isBacklogged(flow) || !wanting(pool, LeaseScope.ANY).contains(entry);
        boolean taken = entries.find(entry).map(EntryLink::acceptsIdleLeases).orElse(false);
        if (wanted || !taken || limits.remainingSlots(flow, pool.flows(), pool.longHeld()) == 0 || !pool.fits(flow)) {
            return free;
        }
        pool.grant(plan, entry, scope(pool, flow), Optional.of(flow), free, nowNanos);
        return free - 1;
    }

    private static LeaseScope scope(ServicePool pool, FlowState flow) {
        return pool.policy().kind(flow.flow().kind()).shortTask() ? LeaseScope.SHORT_ONLY : LeaseScope.ANY;
    }

    private void spread(ServicePool pool, GrantPlan plan, int free, Optional<RunningTask> ended, long nowNanos) {
        if (free == 0) {
            return;
        }
        int longLimit = pool.policy().longLimit(pool.slots());
        Set<Incarnation> wantAny = wanting(pool, LeaseScope.ANY);
        Set<Incarnation> wantShort = wanting(pool, LeaseScope.SHORT_ONLY);
        Optional<Incarnation> preferred = ended.map(RunningTask::entry);
        for (int left = free; left > 0; left--) {
            LeaseScope scope = pool.longHeld() < longLimit ? LeaseScope.ANY : LeaseScope.SHORT_ONLY;
            Set<Incarnation> excluded = scope == LeaseScope.ANY ? wantAny : wantShort;
            Optional<Incarnation> entry = leastIdle(pool, scope, excluded, preferred);
            if (entry.isEmpty()) {
                return;
            }
            pool.grant(plan, entry.get(), scope, Optional.empty(), left, nowNanos);
        }
    }

    /**
     * Returns the entries with a backlogged flow that would use a lease without a flow although it may not take a slot.
     */
    private static Set<Incarnation> wanting(ServicePool pool, LeaseScope scope) {
        Set<Incarnation> wanting = new HashSet<>();
        for (FlowState flow : pool.flows().backlogged()) {
            if (scope.admits(pool.policy().kind(flow.flow().kind()))) {
                flow.addBackloggedEntries(wanting);
            }
        }
        return wanting;
    }

    private Optional<Incarnation> leastIdle(
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
