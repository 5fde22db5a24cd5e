package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.message.Message;

/** Sends single requests at random times to a fleet without faults, and measures response times in virtual time. */
final class FleetLoad {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final long LINK_SETUP_NANOS = 200 * NANOS_PER_MILLI;
    private static final long WARM_UP_NANOS = 5 * NANOS_PER_SECOND;
    private static final long MAX_ANSWER_DELAY_NANOS = 120 * NANOS_PER_SECOND;

    private final FakeFleet fleet;
    private final long seed;
    private final Random random;
    private final long endNanos;
    private final List<MeasuredFlow> flows = new ArrayList<>();

    private FleetLoad(long seed, FleetSite site, int seconds) {
        this.fleet = new FakeFleet(seed, site);
        this.seed = seed;
        this.random = new Random(seed);
        this.endNanos = LINK_SETUP_NANOS + WARM_UP_NANOS + seconds * NANOS_PER_SECOND;
        fleet.reliableExecutors();
    }

    static FleetLoad of(long seed, FleetSite site, int seconds) {
        return new FleetLoad(seed, site, seconds);
    }

    /**
     * Adds requests of one flow with independent arrivals.
     *
     * <p>The requests depend only on the seed and the position of the flow, not on the other flows.
     *
     * @param perSecond the mean number of arrivals per second
     * @param runTime the distribution of the run times
     */
    FleetLoad flow(String kind, String team, double perSecond, RunTime runTime) {
        Random arrivals = new Random(seed + flows.size());
        flows.add(new MeasuredFlow(kind, team, perSecond, runTime, arrivals));
        return this;
    }

    /** Runs the load until the last answer. */
    FleetLoad run() {
        fleet.scheduler().runUntil(LINK_SETUP_NANOS);
        flows.forEach(this::scheduleNext);
        fleet.scheduler().runUntil(endNanos + MAX_ANSWER_DELAY_NANOS);
        return this;
    }

    /** Returns the flows in the order of their addition. */
    List<MeasuredFlow> flows() {
        return flows;
    }

    /** Returns the number of messages of a type sent between processes. */
    int messages(Class<? extends Message> type) {
        return fleet.network().messages(type);
    }

    private void scheduleNext(MeasuredFlow flow) {
        long atNanos = fleet.scheduler().nowNanos() + flow.nextInterarrivalNanos();
        if (atNanos >= endNanos) {
            return;
        }
        fleet.scheduler().at(atNanos, () -> {
            submit(flow);
            scheduleNext(flow);
        });
    }

    private void submit(MeasuredFlow flow) {
        long sentNanos = fleet.scheduler().nowNanos();
        int runMillis = flow.nextRunMillis();
        if (measured(sentNanos)) {
            flow.sent(sentNanos, runMillis * NANOS_PER_MILLI);
        }
        FakeEntry entry = fleet.entries().get(random.nextInt(fleet.entries().size()));
        entry.submit(
                entry.issue().orElseThrow(),
                job(flow, runMillis),
                answer -> answered(flow, answer, sentNanos, runMillis * NANOS_PER_MILLI));
    }

    private static boolean measured(long atNanos) {
        return atNanos >= LINK_SETUP_NANOS + WARM_UP_NANOS;
    }

    private static JobSpec job(MeasuredFlow flow, int runMillis) {
        TaskSpec task = new TaskSpec(flow.kind(), "POST", "/", "", Payload.EMPTY, runMillis, Resources.NONE);
        return new JobSpec(flow.team(), false, List.of(task));
    }

    private void answered(MeasuredFlow flow, JobAnswer answer, long sentNanos, long runNanos) {
        if (!answer.outcome().equals(Optional.of(Outcome.COMPLETE))) {
            return;
        }
        long nowNanos = fleet.scheduler().nowNanos();
        if (measured(sentNanos)) {
            flow.complete(nowNanos - sentNanos, runNanos);
        }
        if (measured(nowNanos) && nowNanos < endNanos) {
            flow.addCompletedRun(runNanos);
        }
    }

    /** Returns the average number of slots held by the tasks of a flow during the measurement. */
    double slotsHeld(MeasuredFlow flow) {
        return (double) flow.completedRunNanos() / (endNanos - LINK_SETUP_NANOS - WARM_UP_NANOS);
    }
}
