package org.knapweedmount.core.agent;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.core.metric.Invariants;

/** The right of one entry to start one task on a slot of this agent. */
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

    /** Returns the flow that the lease is bound to, empty if it is bound to none. */
    Optional<FlowState> flow() {
        return charge.map(FlowCharge::flow);
    }

    /** Returns whether the entry last reported queued tasks of the flow that the lease is bound to. */
    boolean hasQueuedTask() {
        return flow().isPresent() && flow().get().queuedAt(entry) > 0;
    }

    /** Returns the charge of its flow, empty if the lease is not bound to a flow. */
    Optional<FlowCharge> charge() {
        return charge;
    }

    /** Returns the resources that are reserved for the lease. */
    Resources reserved() {
        return reserved;
    }

    long grantedNanos() {
        return grantedNanos;
    }

    void transition(LeaseEvent event, Invariants invariants) {
        state = AgentCharts.LEASE.next(state, event, invariants);
    }
}
