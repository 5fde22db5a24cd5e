package org.knapweedmount.core.agent;

import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Start;

/** A task that was sent to an endpoint and has not ended. */
final class RunningTask {
    private final TaskId id;
    private final long sequence;
    private final Incarnation entry;
    private final Endpoint endpoint;
    private final Lease lease;
    private final FlowCharge flowCharge;
    private final boolean longTask;
    private final Resources declared;
    private final long startedNanos;
    private Resources endpointCharge;
    private boolean stopped;
    private boolean requestAtFault;

    RunningTask(
            Start start,
            Endpoint endpoint,
            Lease lease,
            FlowCharge flowCharge,
            boolean longTask,
            Resources declared,
            long startedNanos) {
        this.id = start.task();
        this.sequence = start.sequence();
        this.entry = lease.entry();
        this.endpoint = endpoint;
        this.lease = lease;
        this.flowCharge = flowCharge;
        this.longTask = longTask;
        this.declared = declared;
        this.startedNanos = startedNanos;
        this.endpointCharge = endpoint.charge(flowCharge.flow().flow().kind(), declared);
    }

    TaskId id() {
        return id;
    }

    /** The sequence number of the start that it came with. */
    long sequence() {
        return sequence;
    }

    Incarnation entry() {
        return entry;
    }

    ServicePool pool() {
        return lease.pool();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    Lease lease() {
        return lease;
    }

    FlowState flow() {
        return flowCharge.flow();
    }

    /** Returns what its flow was charged in advance. */
    FlowCharge flowCharge() {
        return flowCharge;
    }

    boolean longTask() {
        return longTask;
    }

    /** Returns what its endpoint is charged for it. */
    Resources endpointCharge() {
        return endpointCharge;
    }

    /** Charges the endpoint anew after a report of what such tasks really use. */
    void recharge() {
        Resources charge = endpoint.charge(flowCharge.flow().flow().kind(), declared);
        endpoint.recharged(endpointCharge, charge);
        endpointCharge = charge;
    }

    long heldNanos(long nowNanos) {
        return nowNanos - startedNanos;
    }

    long heldMicros(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMicros(heldNanos(nowNanos));
    }

    /** Notes that it was asked to stop, so that its end says nothing of the endpoint. */
    void stop() {
        stopped = true;
    }

    /** Takes its result, which may say nothing of the endpoint either. */
    void ended(TaskResult result) {
        requestAtFault = EndpointVerdict.of(result) == EndpointVerdict.NONE;
    }

    /** Tells whether the way it ended is to be held for or against its endpoint. */
    boolean judgesEndpoint() {
        return !stopped && !requestAtFault;
    }
}
