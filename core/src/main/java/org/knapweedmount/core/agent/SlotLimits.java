package org.knapweedmount.core.agent;

import java.util.HashMap;
import java.util.Map;

/**
 * How many of a service's slots each kind and team may hold at one moment.
 *
 * <p>While other kinds are active, a kind leaves each of them the lesser of its guaranteed share and its likely need,
 * so that a flood of one kind does not take the slots that the others are about to need.
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
        int reserve = Math.min(guaranteed, kind.recentNeed(nowNanos));
        reserves.put(kind.name(), reserve);
        totalReserve += reserve;
    }

    /** Returns how many slots a kind may hold. */
    int kindLimit(String kind) {
        int others = totalReserve - reserves.getOrDefault(kind, 0);
        return Math.max(1, slots - others);
    }

    /** Returns how many slots tasks of long kinds may hold. */
    int longLimit() {
        return longLimit;
    }

    /** Counts the further slots that a flow may take. */
    int room(FlowState flow, FlowTable flows, int longHeld) {
        String team = flow.flow().team();
        int room = policy.quota(team, slots) - flows.heldByTeam(team);
        room = Math.min(room, kindLimit(flow.flow().kind()) - flow.kind().held());
        if (!policy.kind(flow.flow().kind()).shortTask()) {
            room = Math.min(room, longLimit - longHeld);
        }
        return Math.max(0, room);
    }
}
