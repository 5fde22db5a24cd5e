package org.knapweedmount.core.agent;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.core.config.ConfigState;

/** The slots of one service at this agent, with their leases, flows and running tasks. */
final class ServicePool {
    private final String service;
    private final AgentContext context;
    private final EndpointTable endpoints;
    private final LeaseNumbers numbers;
    private final SlotPolicy policy;
    private final FlowTable flows;
    private final Arbiter arbiter;
    private final IdleLeaseTable idleLeases = new IdleLeaseTable();
    private Resources reserved = Resources.NONE;
    private Capacity capacity;
    private boolean closed;
    private int running;

    ServicePool(
            String service, AgentContext context, EndpointTable endpoints, LeaseNumbers numbers, ConfigState config) {
        this.service = service;
        this.context = context;
        this.endpoints = endpoints;
        this.numbers = numbers;
        this.policy = new SlotPolicy(config, service);
        this.flows = new FlowTable(policy);
        this.arbiter = new Arbiter(policy, flows);
        this.capacity = new Capacity(service, 0, Resources.NONE);
    }

    String service() {
        return service;
    }

    SlotPolicy policy() {
        return policy;
    }

    FlowTable flows() {
        return flows;
    }

    Arbiter arbiter() {
        return arbiter;
    }

    IdleLeaseTable idleLeases() {
        return idleLeases;
    }

    Capacity capacity() {
        return capacity;
    }

    int slots() {
        return capacity.slots();
    }

    /** Returns the number of slots that neither run a task nor are leased; negative if leases exceed the open slots. */
    int free() {
        return openSlots() - idleLeases.idle();
    }

    int openSlots() {
        return closed ? 0 : endpoints.openSlots(service);
    }

    /** Returns the number of slots that tasks of long kinds hold or may take under idle leases. */
    int longHeld() {
        return flows.runningLong() + idleLeases.idleAny();
    }

    void tick(long nowNanos) {
        flows.prune(nowNanos);
    }

    /** Returns whether the pool has no slots, tasks, leases or demand, so that it may be removed. */
    boolean isUnused() {
        return capacity.slots() == 0 && running == 0 && idleLeases.idle() == 0 && flows.hasNoDemand();
    }

    /** Closes the pool to new tasks while the agent is draining, or reopens it. */
    void closed(boolean draining) {
        closed = draining;
    }

    /**
     * Recomputes the capacity from the endpoints.
     *
     * @return true if the capacity has changed
     */
    boolean updateCapacity() {
        Capacity updated = new Capacity(service, endpoints.advertisedSlots(service), endpoints.maxResources(service));
        boolean changed = !updated.equals(capacity);
        capacity = updated;
        return changed;
    }

    void demand(Incarnation entry, Demand demand, long nowNanos) {
        flows.demand(entry, demand.flows(), nowNanos);
    }

    /** Grants a lease on one slot and adds it to the batch of grants. */
    void grant(
            GrantBatch batch, Incarnation entry, LeaseScope scope, Optional<FlowState> flow, int free, long nowNanos) {
        Optional<FlowCharge> charge = flow.map(arbiter::charge);
        Resources need = flow.map(this::need).orElse(Resources.NONE);
        long number = batch.add(entry, scope, flow.map(FlowState::flow), numbers, free);
        idleLeases.add(new Lease(this, number, entry, scope, charge, need, nowNanos));
        reserved = reserved.plus(need);
        flow.ifPresent(bound -> flows.leaseGranted(bound, entry, nowNanos));
        context.counters().increment(AgentCounter.GRANTS);
    }

    private Resources need(FlowState flow) {
        return policy.kind(flow.flow().kind()).resources().max(flow.refusedResources());
    }

    /** Returns whether a task of a flow fits on a worker in addition to the resources reserved for leases. */
    boolean fits(FlowState flow) {
        return endpoints.fits(service, flow.flow().kind(), need(flow), reserved);
    }

    /** Handles the release of leases by an entry; a released lease shows that its flow has no queue there. */
    void released(Incarnation entry, Release release) {
        int released = 0;
        for (long number : release.leases()) {
            Optional<Lease> lease = idleLeases.take(entry, number);
            lease.ifPresent(taken -> {
                close(taken, LeaseEvent.RELEASED);
                taken.flow().ifPresent(flow -> flows.clearQueue(flow, entry));
            });
            released++;
        }
        idleLeases.entryLeases(entry).recallAnswered(released);
    }

    /** Revokes all idle leases of an entry and returns their number. */
    int revoke(Incarnation entry) {
        List<Lease> leases = idleLeases.leasesOf(entry);
        leases.forEach(this::revoke);
        return leases.size();
    }

    /** Revokes all idle leases of an unresponsive entry. */
    void revokeUnresponsive(Incarnation entry) {
        idleLeases.entryLeases(entry).revokedWhileUnresponsive(revoke(entry));
    }

    void revoke(Lease lease) {
        idleLeases.take(lease.entry(), lease.number());
        close(lease, LeaseEvent.LAPSED);
    }

    void unlinked(Incarnation entry, long nowNanos) {
        revoke(entry);
        flows.clearDemand(entry, nowNanos);
        idleLeases.remove(entry);
    }

    /** Closes a lease that no task was started under. */
    private void close(Lease lease, LeaseEvent event) {
        lease.transition(event, context.invariants());
        lease.charge().ifPresent(arbiter::refund);
        unbind(lease);
    }

    private void unbind(Lease lease) {
        reserved = reserved.minus(lease.reserved());
        lease.flow().ifPresent(flow -> flows.leaseClosed(flow, lease.entry()));
    }

    /**
     * Removes the lease of a start, whether or not the start will be accepted.
     *
     * @return the lease, empty if the entry has no such idle lease
     */
    Optional<Lease> take(Incarnation entry, Start start) {
        return idleLeases.take(entry, start.lease());
    }

    /** Returns whether the task of a start may be run again after a failure. */
    boolean repeatable(Start start) {
        return policy.kind(start.spec().kind()).repeatable();
    }

    /** Closes a lease whose start was refused. */
    void refused(Lease lease) {
        close(lease, LeaseEvent.REFUSED);
    }

    /** Returns the reason to refuse a start under a lease, empty if the start is accepted. */
    Optional<Reason> refusal(Lease lease, Start start) {
        KindConfig kind = policy.kind(start.spec().kind());
        boolean wrongFlow =
                lease.flow().isPresent() && !lease.flow().get().flow().equals(start.flow());
        if (wrongFlow || !lease.scope().admits(kind)) {
            return Optional.of(Reason.LEASE_LAPSED);
        }
        if (lease.flow().isEmpty() && flows.heldByTeam(start.team()) >= policy.quota(start.team(), slots())) {
            return Optional.of(Reason.OVER_QUOTA);
        }
        if (choose(lease, start, kind).isPresent()) {
            return Optional.empty();
        }
        boolean neverFits = !endpoints.couldFit(service, declared(start, kind));
        return Optional.of(neverFits ? Reason.FITS_NO_WORKER : Reason.LEASE_LAPSED);
    }

    /**
     * Counts a task refused for lack of room as queued.
     *
     * <p>Its entry then gets a lease bound to the flow when there is room. A lease without a flow would be used for the
     * same task and refused again.
     */
    void queueRefused(Lease lease, Start start, long nowNanos) {
        if (!flows.updateQueue(start, lease.entry(), start.queued() + 1, nowNanos)) {
            return;
        }
        flows.flow(start.flow(), nowNanos).refusedResources(start.spec().resources());
    }

    private Optional<Endpoint> choose(Lease lease, Start start, KindConfig kind) {
        Resources reservedForLeases = lease.flow().isPresent() ? Resources.NONE : reserved;
        return endpoints.choose(service, kind.name(), declared(start, kind), reservedForLeases);
    }

    private static Resources declared(Start start, KindConfig kind) {
        return start.spec().resources().max(kind.resources());
    }

    /** Updates the demand of an entry by the queue length that a start carries. */
    void queued(Incarnation entry, Start start, long nowNanos) {
        flows.updateQueue(start, entry, start.queued(), nowNanos);
    }

    /** Starts a task for which {@link #refusal} returned no reason. */
    RunningTask start(Lease lease, Start start, long nowNanos) {
        KindConfig kind = policy.kind(start.spec().kind());
        Resources need = declared(start, kind);
        FlowState flow = flows.flow(start.flow(), nowNanos);
        FlowCharge charge = lease.charge().orElseGet(() -> arbiter.charge(flow));
        Endpoint endpoint = choose(lease, start, kind).orElseThrow();
        boolean longTask = !kind.shortTask();
        RunningTask task = new RunningTask(start, endpoint, lease, charge, longTask, need, nowNanos);
        lease.transition(LeaseEvent.STARTED, context.invariants());
        unbind(lease);
        endpoint.started(task.endpointCharge());
        flows.taskStarted(flow, longTask, nowNanos);
        flow.refusedResources(Resources.NONE);
        running++;
        return task;
    }

    /** Handles the end of a task. */
    void ended(RunningTask task, TaskResult result, long nowNanos) {
        running--;
        task.lease().transition(LeaseEvent.TASK_ENDED, context.invariants());
        flows.taskEnded(task.flow(), task.longTask(), nowNanos);
        if (result.outcome() == Outcome.NOT_RUN) {
            arbiter.refund(task.flowCharge());
        } else {
            arbiter.reconcile(task.flowCharge(), task.heldNanos(nowNanos));
        }
        Endpoint endpoint = task.endpoint();
        endpoint.ended(task.endpointCharge());
        if (task.countsForEndpointHealth() && endpoint.recordOutcome(result.outcome(), context.limits(), nowNanos)) {
            context.counters().increment(AgentCounter.ENDPOINTS_SET_ASIDE);
        }
        endpoints.removeIfGone(endpoint);
    }
}
