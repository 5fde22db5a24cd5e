package org.knapweedmount.core.agent;

import java.util.Optional;
import java.util.function.Predicate;

import org.knapweedmount.api.Incarnation;

/**
 * Selects the flow that gets the next free slot of a service, by start-time fair queueing.
 *
 * <p>Each flow has a virtual time that advances by the slot time of its tasks divided by the flow's weight. Since the
 * slot time is known only when a task ends, a task is first charged the estimated run time of its kind.
 */
final class Arbiter {
    private final SlotPolicy policy;
    private final FlowTable flows;

    Arbiter(SlotPolicy policy, FlowTable flows) {
        this.policy = policy;
        this.flows = flows;
    }

    /**
     * The flow that gets a slot, and the entry that the lease is granted to.
     *
     * @param flow the flow
     * @param entry the entry whose oldest queued task of the flow has waited longest
     */
    record Selection(FlowState flow, Incarnation entry) {}

    /**
     * Selects the flow with the least virtual time among those that have demand and may hold another slot.
     *
     * @param limits the limits on the slots of each kind and team
     * @param longHeld the number of slots that tasks of long kinds hold or may take under idle leases
     * @param entries accepts the entries that may get leases
     * @param fits accepts the flows whose tasks fit into the free resources of a worker
     */
    Optional<Selection> selectNext(
            SlotLimits limits, int longHeld, Predicate<Incarnation> entries, Predicate<FlowState> fits) {
        FlowState chosen = null;
        for (FlowState flow : flows.backlogged()) {
            if (chosen != null && chosen.virtualNanos() <= flow.virtualNanos()) {
                continue;
            }
            if (limits.remainingSlots(flow, flows, longHeld) > 0
                    && flow.unleasedTasks(entries) > 0
                    && fits.test(flow)) {
                chosen = flow;
            }
        }
        if (chosen == null) {
            return Optional.empty();
        }
        FlowState flow = chosen;
        return flow.longestWaiting(entries).map(entry -> new Selection(flow, entry));
    }

    /** Charges a flow the estimated cost of one task in advance. */
    FlowCharge charge(FlowState flow) {
        boolean backlogged = flows.isBacklogged(flow);
        if (!backlogged) {
            flows.raiseToSystemVirtualTime(flow);
        }
        if (backlogged || flows.backlogged().isEmpty()) {
            flows.advanceSystemVirtualTime(flow.virtualNanos());
        }
        FlowCharge charge = new FlowCharge(flow, flow.kind().estimatedRunNanos() / policy.weight(flow.flow()));
        flow.virtualNanos(flow.virtualNanos() + charge.virtualNanos());
        return charge;
    }

    /** Refunds a charge for which no task was run. */
    void refund(FlowCharge charge) {
        replaceCharge(charge, 0);
    }

    /** Replaces an estimated charge by the cost of the time that the task held its slot. */
    void reconcile(FlowCharge charge, long heldNanos) {
        charge.flow().kind().recordRunTime(heldNanos);
        replaceCharge(charge, heldNanos / policy.weight(charge.flow().flow()));
    }

    private static void replaceCharge(FlowCharge charge, double virtualNanos) {
        FlowState flow = charge.flow();
        flow.virtualNanos(flow.virtualNanos() - charge.virtualNanos() + virtualNanos);
    }
}
