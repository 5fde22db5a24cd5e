package org.knapweedmount.standins.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.DispatchSettings;
import org.knapweedmount.core.dispatch.Dispatcher;
import org.knapweedmount.core.dispatch.JobRequest;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.core.dispatch.JobStep;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/** One entry with workers that are half used, which end each run at once. */
final class PlacementModel implements DispatchOutput {
    static final WorkQueue QUEUE = new WorkQueue("queue", "host", "/", "service", 0, 3, 1.6, 60, 1_500, false);

    private static final Resources CAPACITY = new Resources(32_000, 131_072, 0);
    private static final Resources FREE = new Resources(16_000, 131_072, 0);
    private static final int TASK_MILLI_CORES = 500;
    private static final int TASK_MILLIS = 100;
    private static final int TASKS = 101;
    private static final int RACKS = 8;
    private static final int ROUNDS = 60;
    private static final int TICKS = 60;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final PlacementCase measured;
    private final Dispatcher dispatcher = new Dispatcher(this, new DataCentreAccess(), new DispatchSettings(2));
    private final List<Incarnation> agents = new ArrayList<>();
    private final Map<Incarnation, List<RunOrder>> orders = new HashMap<>();
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private long lastJob;

    PlacementModel(int workers, PlacementCase measured) {
        this.measured = measured;
        for (int worker = 0; worker < workers; worker++) {
            agents.add(new Incarnation("agent-" + worker, 1));
            dispatcher.agentLinked(agents.get(worker), nowNanos);
        }
        // The estimates of the speeds of workers count after 3 s.
        for (int tick = 0; tick < TICKS; tick++) {
            tick();
        }
    }

    private void tick() {
        nowNanos += TICK_NANOS;
        for (int worker = 0; worker < agents.size(); worker++) {
            report(worker, Long.MAX_VALUE);
        }
        dispatcher.tick(nowNanos);
    }

    private void report(int worker, long lastOrder) {
        dispatcher.receive(
                agents.get(worker),
                new WorkerReport(
                        nowNanos,
                        QUEUE.service(),
                        "worker-" + worker,
                        List.of("rack-" + worker % RACKS),
                        CAPACITY,
                        FREE,
                        true,
                        lastOrder,
                        0,
                        measured.slowdownPercent(worker),
                        true,
                        measured.condition()),
                nowNanos);
    }

    /** Returns the median time of a decision, in ns. */
    double nanosPerDecision() {
        double[] nanos = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            tick(); // a worker without a recent report is not considered
            long one = submit(1);
            long many = submit(TASKS);
            nanos[round] = (double) (many - one) / (TASKS - 1);
        }
        Arrays.sort(nanos);
        return nanos[ROUNDS / 2];
    }

    /** Submits a job, ends its runs, and returns the time of the submission, in ns. */
    private long submit(int tasks) {
        lastJob++;
        nowNanos += TICK_NANOS;
        JobStep step = new JobStep(
                tasks,
                new Resources(TASK_MILLI_CORES, 64, 0),
                TASK_MILLIS,
                List.of(),
                Optional.empty(),
                measured.affinity(),
                Integer.MAX_VALUE);
        long deadlineNanos = nowNanos + TimeUnit.SECONDS.toNanos(10);
        JobRequest request = new JobRequest("%016x".formatted(lastJob), QUEUE, "spec", List.of(step), deadlineNanos);
        long startNanos = System.nanoTime();
        dispatcher.submit(request, nowNanos);
        long nanos = System.nanoTime() - startNanos;
        endRuns();
        return nanos;
    }

    private void endRuns() {
        Map<Incarnation, List<RunOrder>> taken = new HashMap<>(orders);
        orders.clear();
        taken.forEach((agent, sent) -> {
            List<RunResult> results = sent.stream()
                    .flatMap(order -> order.jobs().stream())
                    .flatMap(job -> job.runs().stream())
                    .map(run -> new RunResult(run.ref(), RunOutcome.DONE, TASK_MILLIS, ""))
                    .toList();
            dispatcher.receive(agent, new RunsEnded(results), nowNanos);
            report(agents.indexOf(agent), Long.MAX_VALUE);
        });
    }

    @Override
    public void send(Incarnation peer, Message message) {
        if (message instanceof RunOrder order) {
            orders.computeIfAbsent(peer, key -> new ArrayList<>()).add(order);
        }
    }

    @Override
    public void answer(String job, JobResult result) {
        // The answers are not part of the measurement.
    }

    @Override
    public void logEvent(String event, String detail) {
        // The log is written by a thread of its own, whose cost is not part of the model.
    }
}
