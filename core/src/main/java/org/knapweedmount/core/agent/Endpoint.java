package org.knapweedmount.core.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Resources;
import org.knapweedmount.core.metric.Invariants;

/** An endpoint of this agent: its last announcement, its load, and its health. */
final class Endpoint {
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_REPORTED_KINDS = 256;

    private final Invariants invariants;
    private final Map<String, Resources> reportedUsage = new HashMap<>();
    private EndpointAnnouncement announcement;
    private EndpointState state = AgentCharts.ENDPOINT.initial();
    private long expiresNanos;
    private long pauseEndsNanos;
    private int running;
    private int consecutiveFailures;
    private Resources charged = Resources.NONE;

    Endpoint(EndpointAnnouncement announcement, Invariants invariants, long nowNanos) {
        this.announcement = announcement;
        this.invariants = invariants;
        extend(nowNanos);
    }

    void announced(EndpointAnnouncement repeated, long nowNanos) {
        if (state == EndpointState.LEAVING) {
            consecutiveFailures = 0;
        }
        announcement = repeated;
        transition(EndpointEvent.ANNOUNCED);
        extend(nowNanos);
    }

    private void extend(long nowNanos) {
        expiresNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(announcement.ttlMillis());
    }

    boolean expired(long nowNanos) {
        return state.advertised(1) > 0 && nowNanos - expiresNanos >= 0;
    }

    void left() {
        transition(EndpointEvent.LEFT);
        if (running == 0) {
            transition(EndpointEvent.LAST_TASK_ENDED);
        }
    }

    boolean isGone() {
        return state == EndpointState.GONE;
    }

    String id() {
        return announcement.id();
    }

    String service() {
        return announcement.service();
    }

    Resources resources() {
        return announcement.resources();
    }

    int advertisedSlots() {
        return state.advertised(slots());
    }

    /** Returns the number of further tasks that may be started on it now. */
    int openSlots() {
        return Math.max(0, state.usable(slots()) - running);
    }

    private int slots() {
        return Math.min(MAX_SLOTS, Math.min(announcement.slots(), announcement.connections()));
    }

    /** Returns the fraction of its slots that are in use, by which the least loaded endpoint is chosen. */
    double load() {
        return (double) running / slots();
    }

    /**
     * Returns the resources charged for a task: the maximum of its declared and the reported usage of its kind.
     *
     * <p>Reported usage is capped at the resources of the worker, so that the task can still run alone.
     */
    Resources charge(String kind, Resources declared) {
        return declared.max(reportedUsage.getOrDefault(kind, Resources.NONE));
    }

    /** Returns whether a task fits in addition to the running tasks and the reserved resources. */
    boolean fits(Resources need, Resources reserved) {
        return limitedBySlotsAlone() || charged.plus(reserved).plus(need).fits(resources());
    }

    /** Returns whether a task would fit if nothing else ran on the endpoint. */
    boolean couldFit(Resources need) {
        return advertisedSlots() > 0 && (limitedBySlotsAlone() || need.fits(resources()));
    }

    private boolean limitedBySlotsAlone() {
        return resources().equals(Resources.NONE);
    }

    void usageReported(String kind, Resources used) {
        if (reportedUsage.size() >= MAX_REPORTED_KINDS && !reportedUsage.containsKey(kind)) {
            return;
        }
        Resources excess = used.minus(resources());
        reportedUsage.put(kind, used.minus(excess));
    }

    void replaceCharge(Resources before, Resources after) {
        charged = charged.minus(before).plus(after);
    }

    void started(Resources charge) {
        invariants.check(openSlots() > 0, "a task is started only on an endpoint with an open slot");
        running++;
        charged = charged.plus(charge);
    }

    void ended(Resources charge) {
        running--;
        charged = charged.minus(charge);
        invariants.check(running >= 0, "an endpoint does not end more tasks than were started on it");
        if (running == 0) {
            transition(EndpointEvent.LAST_TASK_ENDED);
        }
    }

    /**
     * Updates the health of the endpoint by the outcome of a task.
     *
     * @return true if the outcome causes the endpoint to be paused
     */
    boolean recordOutcome(Outcome outcome, AgentLimits limits, long nowNanos) {
        if (isGone()) {
            return false;
        }
        EndpointState before = state;
        transition(outcomeEvent(outcome, limits));
        boolean paused = state == EndpointState.PAUSED && before != EndpointState.PAUSED;
        if (paused) {
            pauseEndsNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(limits.setAsideMillis());
        }
        return paused;
    }

    private EndpointEvent outcomeEvent(Outcome outcome, AgentLimits limits) {
        if (outcome == Outcome.COMPLETE) {
            consecutiveFailures = 0;
            return EndpointEvent.SUCCEEDED;
        }
        consecutiveFailures = Math.min(consecutiveFailures + 1, limits.setAsideFailures());
        return consecutiveFailures == limits.setAsideFailures()
                ? EndpointEvent.FAILED_REPEATEDLY
                : EndpointEvent.FAILED;
    }

    /** Ends the pause after repeated failures if its duration is over. */
    void endPause(long nowNanos) {
        if (state == EndpointState.PAUSED && nowNanos - pauseEndsNanos >= 0) {
            transition(EndpointEvent.PAUSE_ENDED);
        }
    }

    private void transition(EndpointEvent event) {
        state = AgentCharts.ENDPOINT.next(state, event, invariants);
    }
}
