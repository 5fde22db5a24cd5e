package org.knapweedmount.core.agent;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.core.metric.Invariants;

/** One slot lent to one entry for one start. */
final class Lease {
    private final ServicePool pool;
    private final long number;
    private final Incarnation entry;
    private final LeaseScope scope;
    private final Optional<FlowCharge> charge;
    private final Resources reserved;
    private final long grantedNanos;
    private LeaseState state = AgentCharts.LEASE.initial();

    Lease(
            ServicePool pool,
            long number,
            Incarnation entry,
            LeaseScope scope,
            Optional<FlowCharge> charge,
            Resources reserved,
            long grantedNanos) {
        this.pool = pool;
        this.number = number;
        this.entry = entry;
        this.scope = scope;
        this.charge = charge;
        this.reserved = reserved;
        this.grantedNanos = grantedNanos;
    }

    ServicePool pool() {
        return pool;
    }

    long number() {
        return number;
    }

    Incarnation entry() {
        return entry;
    }

    LeaseScope scope() {
        return scope;
    }

    /** Returns the flow that it is bound to. */
    Optional<FlowState> flow() {
        return charge.map(FlowCharge::flow);
    }

    /** Tells whether its entry has a task queued for it, as far as the agent was told. */
    boolean awaited() {
        return flow().isPresent() && flow().get().queuedAt(entry) > 0;
    }

    /** Returns what its flow was charged for it, empty if it is bound to none. */
    Optional<FlowCharge> charge() {
        return charge;
    }

    /** Returns the resources that are kept free for it. */
    Resources reserved() {
        return reserved;
    }

    long grantedNanos() {
        return grantedNanos;
    }

    void step(LeaseEvent event, Invariants invariants) {
        state = AgentCharts.LEASE.next(state, event, invariants);
    }
}
