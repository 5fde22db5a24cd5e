package org.knapweedmount.core.agent;

import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Start;

/** A task that was sent to an endpoint and has not ended yet. */
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

    /** Returns the sequence number of the start message of the task. */
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

    /** Returns the estimated cost that its flow was charged in advance. */
    FlowCharge flowCharge() {
        return flowCharge;
    }

    boolean longTask() {
        return longTask;
    }

    /** Returns the resources that its endpoint is charged for it. */
    Resources endpointCharge() {
        return endpointCharge;
    }

    /** Updates the charge of the endpoint after a report of the measured usage of such tasks. */
    void updateEndpointCharge() {
        Resources charge = endpoint.charge(flowCharge.flow().flow().kind(), declared);
        endpoint.replaceCharge(endpointCharge, charge);
        endpointCharge = charge;
    }

    long heldNanos(long nowNanos) {
        return nowNanos - startedNanos;
    }

    long heldMicros(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMicros(heldNanos(nowNanos));
    }

    /** Records that the task was asked to stop, so that its result does not count for the health of the endpoint. */
    void markStopped() {
        stopped = true;
    }

    /** Records the result; a fault of the request does not count for the health of the endpoint. */
    void ended(TaskResult result) {
        requestAtFault = EndpointVerdict.of(result) == EndpointVerdict.NONE;
    }

    /** Returns whether the result counts for or against the health of the endpoint. */
    boolean countsForEndpointHealth() {
        return !stopped && !requestAtFault;
    }
}
