package org.knapweedmount.core.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Resources;
import org.knapweedmount.core.metric.Invariants;

/** One endpoint beside the agent: what it announced, what runs on it and how it has fared. */
final class Endpoint {
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_REPORTED_KINDS = 256;

    private final Invariants invariants;
    private final Map<String, Resources> reportedUse = new HashMap<>();
    private EndpointAnnouncement announcement;
    private EndpointState state = AgentCharts.ENDPOINT.initial();
    private long expiresNanos;
    private long pauseEndsNanos;
    private int running;
    private int failuresInRow;
    private Resources charged = Resources.NONE;

    Endpoint(EndpointAnnouncement announcement, Invariants invariants, long nowNanos) {
        this.announcement = announcement;
        this.invariants = invariants;
        extend(nowNanos);
    }

    void announced(EndpointAnnouncement repeated, long nowNanos) {
        if (state == EndpointState.LEAVING) {
            failuresInRow = 0;
        }
        announcement = repeated;
        step(EndpointEvent.ANNOUNCED);
        extend(nowNanos);
    }

    private void extend(long nowNanos) {
        expiresNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(announcement.ttlMillis());
    }

    boolean expired(long nowNanos) {
        return state.advertised(1) > 0 && nowNanos - expiresNanos >= 0;
    }

    void left() {
        step(EndpointEvent.LEFT);
        if (running == 0) {
            step(EndpointEvent.LAST_TASK_ENDED);
        }
    }

    boolean gone() {
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

    /** Returns how many more tasks it may run now. */
    int openSlots() {
        return Math.max(0, state.usable(slots()) - running);
    }

    private int slots() {
        return Math.min(MAX_SLOTS, Math.min(announcement.slots(), announcement.connections()));
    }

    /** Returns the share of its slots that are taken, by which the least loaded endpoint is found. */
    double load() {
        return (double) running / slots();
    }

    /**
     * Returns what a task is charged here: the larger of what it declares and what its kind was seen to use.
     *
     * <p>The use that was seen counts at most as the whole of the worker, so that the task can still run alone.
     */
    Resources charge(String kind, Resources declared) {
        return declared.max(reportedUse.getOrDefault(kind, Resources.NONE));
    }

    /** Tells whether a need fits beside what runs here and what is reserved. */
    boolean fits(Resources need, Resources reserved) {
        return limitedBySlotsAlone() || charged.plus(reserved).plus(need).fits(resources());
    }

    /** Tells whether a need would fit if nothing else ran here. */
    boolean couldFit(Resources need) {
        return advertisedSlots() > 0 && (limitedBySlotsAlone() || need.fits(resources()));
    }

    private boolean limitedBySlotsAlone() {
        return resources().equals(Resources.NONE);
    }

    void reported(String kind, Resources used) {
        if (reportedUse.size() >= MAX_REPORTED_KINDS && !reportedUse.containsKey(kind)) {
            return;
        }
        Resources excess = used.minus(resources());
        reportedUse.put(kind, used.minus(excess));
    }

    void recharged(Resources before, Resources after) {
        charged = charged.minus(before).plus(after);
    }

    void started(Resources charge) {
        invariants.check(openSlots() > 0, "a task is started on an endpoint without an open slot");
        running++;
        charged = charged.plus(charge);
    }

    void ended(Resources charge) {
        running--;
        charged = charged.minus(charge);
        invariants.check(running >= 0, "an endpoint ends no more tasks than were started");
        if (running == 0) {
            step(EndpointEvent.LAST_TASK_ENDED);
        }
    }

    /**
     * Takes the result of a task.
     *
     * @return true if the endpoint is set aside by it
     */
    boolean judged(Outcome outcome, AgentLimits limits, long nowNanos) {
        if (gone()) {
            return false;
        }
        EndpointState before = state;
        step(judgement(outcome, limits));
        boolean setAside = state == EndpointState.PAUSED && before != EndpointState.PAUSED;
        if (setAside) {
            pauseEndsNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(limits.setAsideMillis());
        }
        return setAside;
    }

    private EndpointEvent judgement(Outcome outcome, AgentLimits limits) {
        if (outcome == Outcome.COMPLETE) {
            failuresInRow = 0;
            return EndpointEvent.SUCCEEDED;
        }
        failuresInRow = Math.min(failuresInRow + 1, limits.setAsideFailures());
        return failuresInRow == limits.setAsideFailures() ? EndpointEvent.FAILED_REPEATEDLY : EndpointEvent.FAILED;
    }

    /** Ends the pause after a setting aside if it is over. */
    void endPause(long nowNanos) {
        if (state == EndpointState.PAUSED && nowNanos - pauseEndsNanos >= 0) {
            step(EndpointEvent.PAUSE_ENDED);
        }
    }

    private void step(EndpointEvent event) {
        state = AgentCharts.ENDPOINT.next(state, event, invariants);
    }
}
