package org.knapweedmount.core.worker;

import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.core.worker.health.HealthCheck;
import org.knapweedmount.core.worker.health.WorkerHealth;

/** Passes the evidence about the worker's health on to its verdict, makes the checks, and logs what changes. */
final class HealthControl {
    private final WorkerOutput output;
    private final CurrentWorker worker;
    private WorkerHealth health;

    HealthControl(WorkerOutput output, CurrentWorker worker) {
        this.output = output;
        this.worker = worker;
        this.health = new WorkerHealth(output.canCheckHealth());
    }

    /** Begins with another worker, of which nothing is known. */
    void reset() {
        health = new WorkerHealth(output.canCheckHealth());
    }

    /** Returns whether the worker may be sent another run. */
    boolean admits(int runs, long nowNanos) {
        return health.admits(runs, nowNanos);
    }

    /** Records the end of a run. */
    void recordEnd(TrackedRun run, RunOutcome outcome, long nowNanos) {
        if (outcome == RunOutcome.DONE) {
            log(health.runSucceeded(run.orderedNanos(), nowNanos), nowNanos);
        } else if (outcome == RunOutcome.FAILED) {
            log(health.runFailed(run.orderedNanos(), nowNanos), nowNanos);
        }
    }

    /** Records that a run makes no progress. */
    void recordStall(TrackedRun run, long nowNanos) {
        log(health.runStalled(run.orderedNanos(), nowNanos), nowNanos);
    }

    /** Records that the worker has refused a start because it is unhealthy. */
    void recordRefusal(TrackedRun run, long nowNanos) {
        log(health.startRefused(run.orderedNanos(), nowNanos), nowNanos);
    }

    /** Makes a health check if one is due before a closed worker is probed. */
    void checkDue(int runs, long nowNanos) {
        if (!worker.isPresent() || !health.checkDue(runs, nowNanos)) {
            return;
        }
        health.checkSent(nowNanos);
        output.count(RunCounter.HEALTH_CHECKS);
        output.checkHealth(worker.incarnation());
    }

    /** Records the result of a health check. */
    void checked(HealthCheck result, long nowNanos) {
        output.logEvent("worker-checked", "worker=" + worker.incarnation() + " result=" + result);
        log(health.checked(result, nowNanos), nowNanos);
    }

    private void log(WorkerHealth.Change change, long nowNanos) {
        switch (change) {
            case CLOSED, EXTENDED -> {
                String event = change == WorkerHealth.Change.CLOSED ? "worker-aside" : "worker-still-aside";
                output.count(RunCounter.HEALTH_CLOSINGS);
                output.logEvent(
                        event,
                        "worker=" + worker.incarnation() + " reason="
                                + health.closedReason().orElseThrow().label() + " millis="
                                + health.quarantineLeftMillis(nowNanos));
            }
            case REOPENED -> output.logEvent("worker-back", "worker=" + worker.incarnation());
            default -> {
                // The verdict is the same.
            }
        }
    }
}
