package org.knapweedmount.core.dispatch;

import java.util.List;

import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.work.RunRef;

/**
 * Tells agents which runs must end.
 *
 * <p>A stop order may be lost with its link, so it is not an event but derived from the state of the jobs: it is repeated
 * until the agent reports the end of the run, on each new link and ahead of the renewals of the lease on the same link.
 */
final class StopOrders {
    private final DispatchOutput output;
    private final DispatchEvents events;

    StopOrders(DispatchOutput output, DispatchEvents events) {
        this.output = output;
        this.events = events;
    }

    /** Stops the remaining runs of a job that has been answered. */
    void answered(TrackedJob job) {
        job.orderedRuns().forEach((agent, runs) -> output.send(agent, new StopRuns(runs)));
    }

    /** Stops the runs that an agent holds on a new link, but for those of unanswered jobs. */
    void linked(WorkerView view, List<RunRef> held, long nowNanos) {
        List<RunRef> outdated =
                held.stream().filter(ref -> !view.mayContinue(ref)).toList();
        if (outdated.isEmpty()) {
            return;
        }
        events.outdated(view, outdated);
        output.send(view.agent(), new StopRuns(outdated));
        view.stopRepeated(nowNanos);
    }

    /** Stops the runs of an agent that was silent, so that a suspended one reads this before any renewal. */
    void released(WorkerView view, List<TrackedTask> tasks) {
        if (!tasks.isEmpty() && view.linked()) {
            output.send(
                    view.agent(),
                    new StopRuns(tasks.stream().map(TrackedTask::ref).toList()));
        }
    }

    /** Repeats the stop orders whose runs the agent has not reported as ended, at most once per interval. */
    void repeat(WorkerView view, long nowNanos) {
        if (!view.stopRepeatDue(nowNanos)) {
            return;
        }
        List<RunRef> runs = view.runsOfAnsweredJobs();
        if (runs.isEmpty()) {
            return;
        }
        events.stopRepeated(view, runs);
        output.send(view.agent(), new StopRuns(runs));
        view.stopRepeated(nowNanos);
    }
}
