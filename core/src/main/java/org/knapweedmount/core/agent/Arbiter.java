package org.knapweedmount.core.agent;

import java.util.Optional;
import java.util.function.Predicate;

import org.knapweedmount.api.Incarnation;

/**
 * Decides which flow gets the next free slot of a service, by start-time fair queueing.
 *
 * <p>Each flow has a virtual time, which its tasks move on by the time that they hold a slot, divided by the flow's
 * weight. Since that time is known only at the end, a task is charged its kind's usual run time in advance.
 */
final class Arbiter {
    private final SlotPolicy policy;
    private final FlowTable flows;

    Arbiter(SlotPolicy policy, FlowTable flows) {
        this.policy = policy;
        this.flows = flows;
    }

    /**
     * Who gets a slot.
     *
     * @param flow the flow
     * @param entry the entry whose oldest task of the flow has waited longest
     */
    record Claim(FlowState flow, Incarnation entry) {}

    /**
     * Finds the flow with the least virtual time among those with demand and room.
     *
     * @param limits what each flow may hold
     * @param longHeld the number of slots that tasks of long kinds hold or may take under idle leases
     * @param entries which entries may get leases
     * @param fits which flows fit into what the workers have left
     */
    Optional<Claim> next(SlotLimits limits, int longHeld, Predicate<Incarnation> entries, Predicate<FlowState> fits) {
        FlowState chosen = null;
        for (FlowState flow : flows.wanting()) {
            if (chosen != null && chosen.virtualNanos() <= flow.virtualNanos()) {
                continue;
            }
            if (limits.room(flow, flows, longHeld) > 0 && flow.need(entries) > 0 && fits.test(flow)) {
                chosen = flow;
            }
        }
        if (chosen == null) {
            return Optional.empty();
        }
        FlowState flow = chosen;
        return flow.longestWaiting(entries).map(entry -> new Claim(flow, entry));
    }

    /** Charges a flow for one task in advance. */
    FlowCharge charge(FlowState flow) {
        boolean backlogged = flows.wants(flow);
        if (!backlogged) {
            flows.catchUp(flow);
        }
        if (backlogged || flows.wanting().isEmpty()) {
            flows.advance(flow.virtualNanos());
        }
        FlowCharge charge = new FlowCharge(flow, flow.kind().estimateNanos() / policy.weight(flow.flow()));
        flow.virtualNanos(flow.virtualNanos() + charge.virtualNanos());
        return charge;
    }

    /** Takes a charge back, because no task was started for it. */
    void refund(FlowCharge charge) {
        correct(charge, 0);
    }

    /** Replaces a charge by the cost of the time that the task really held its slot. */
    void settle(FlowCharge charge, long heldNanos) {
        charge.flow().kind().observed(heldNanos);
        correct(charge, heldNanos / policy.weight(charge.flow().flow()));
    }

    private static void correct(FlowCharge charge, double virtualNanos) {
        FlowState flow = charge.flow();
        flow.virtualNanos(flow.virtualNanos() - charge.virtualNanos() + virtualNanos);
    }
}
