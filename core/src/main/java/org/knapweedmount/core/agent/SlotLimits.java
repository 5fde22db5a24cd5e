package org.knapweedmount.core.agent;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits on the slots of a service that each kind and team may hold at a given time.
 *
 * <p>A kind leaves each other active kind a reserve, which is the lesser of that kind's guaranteed share and its
 * expected need, so that an overload of one kind does not take the slots that the others are about to need.
 */
final class SlotLimits {
    private final SlotPolicy policy;
    private final int slots;
    private final int longLimit;
    private final Map<String, Integer> reserves = new HashMap<>();
    private int totalReserve;

    private SlotLimits(SlotPolicy policy, int slots) {
        this.policy = policy;
        this.slots = slots;
        this.longLimit = policy.longLimit(slots);
    }

    static SlotLimits of(SlotPolicy policy, FlowTable flows, int slots, long nowNanos) {
        SlotLimits limits = new SlotLimits(policy, slots);
        double weights = 0;
        for (KindState kind : flows.kinds()) {
            weights += kind.active(nowNanos) ? policy.kindWeight(kind.name()) : 0;
        }
        for (KindState kind : flows.kinds()) {
            if (kind.active(nowNanos)) {
                limits.reserve(kind, weights, nowNanos);
            }
        }
        return limits;
    }

    private void reserve(KindState kind, double weights, long nowNanos) {
        int guaranteed = (int) (slots * policy.kindWeight(kind.name()) / weights);
        int reserve = Math.min(guaranteed, kind.expectedSlots(nowNanos));
        reserves.put(kind.name(), reserve);
        totalReserve += reserve;
    }

    /** Returns the number of slots that a kind may hold. */
    int kindLimit(String kind) {
        int others = totalReserve - reserves.getOrDefault(kind, 0);
        return Math.max(1, slots - others);
    }

    /** Returns the number of slots that tasks of long kinds may hold. */
    int longLimit() {
        return longLimit;
    }

    /** Returns the number of further slots that a flow may take. */
    int remainingSlots(FlowState flow, FlowTable flows, int longHeld) {
        String team = flow.flow().team();
        int remaining = policy.quota(team, slots) - flows.heldByTeam(team);
        remaining =
                Math.min(remaining, kindLimit(flow.flow().kind()) - flow.kind().held());
        if (!policy.kind(flow.flow().kind()).shortTask()) {
            remaining = Math.min(remaining, longLimit - longHeld);
        }
        return Math.max(0, remaining);
    }
}
