package org.knapweedmount.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.core.worker.RunList;
import org.knapweedmount.core.worker.RunListFailure;
import org.knapweedmount.core.worker.StartReply;
import org.knapweedmount.core.worker.StopReply;
import org.knapweedmount.core.worker.WorkerAnnouncement;
import org.knapweedmount.core.worker.WorkerIncarnation;
import org.knapweedmount.core.worker.WorkerTimings;
import org.knapweedmount.core.worker.health.HealthCheck;

/**
 * A worker as specified by the platform: it starts every run it is ordered to, whether or not it fits, extends all runs
 * by one lease on its own clock, and lists run ends until they are acknowledged. An incarnation accepts orders only
 * after its first list, and its clock begins at any value, so that it says nothing about the age of the worker.
 */
final class FakeWorker {
    private static final double ONE_WAY_MILLIS = 0.3;

    /** The rate of the worker's clock; the platform allows it to be 2% slow. */
    private static final double CLOCK_RATE = 0.985;

    /** The bound of the values at which the clock of an incarnation begins, in ms. */
    private static final int MAX_FIRST_CLOCK_MILLIS = 10_000_000;

    private static final double CALL_TIMEOUT_MILLIS = WorkerTimings.CALL_TIMEOUT_MILLIS;

    private final VirtualTime time;
    private final Random random;
    private final Random firstClocks;
    private final String name;
    private final Resources capacity;
    private final InvariantChecker invariants;
    private final Map<RunRef, Running> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestRunNumbers = new HashMap<>();
    private final List<RunList.Ended> ended = new ArrayList<>();
    private String id;
    private long startMillis;
    private long firstClockMillis;
    private long fence;
    private long expiryMillis;
    private long lastEndNumber;
    private long sequence;
    private int starts;
    private int replacements;
    private boolean up = true;
    private boolean draining;
    private double slowdown = 1;
    private double failureRate;
    private double delayedOrderRate;
    private double lostListRate;
    private boolean stalled;
    private boolean acceptsStaleOrders;
    private HealthCheck healthClaim = HealthCheck.UNSUPPORTED;
    private Runnable atStart = () -> {};
    private ToDoubleFunction<RunRequest> runMillis = RunRequest::expectedMillis;

    private record Running(RunRequest request, double endsMillis) {}

    /**
     * Creates a worker that starts now.
     *
     * @param firstClocks the values at which the clocks of its incarnations begin, apart from all other random draws
     */
    FakeWorker(
            VirtualTime time,
            Random random,
            Random firstClocks,
            String name,
            Resources capacity,
            InvariantChecker invariants) {
        this.time = time;
        this.random = random;
        this.firstClocks = firstClocks;
        this.name = name;
        this.id = name;
        this.capacity = capacity;
        this.invariants = invariants;
        this.startMillis = time.nowMillis();
        this.firstClockMillis = firstClocks.nextInt(MAX_FIRST_CLOCK_MILLIS);
        time.every(5, this::endDueRuns);
    }

    /** Sets actual run times that differ from the expected ones, in ms. */
    void setRunMillis(ToDoubleFunction<RunRequest> millis) {
        runMillis = millis;
    }

    /** Lets an incarnation accept orders to an earlier one even before its first list. */
    void acceptStaleOrders() {
        acceptsStaleOrders = true;
    }

    /** Sets an action that runs whenever the worker restarts, before any order arrives. */
    void atStart(Runnable action) {
        atStart = action;
    }

    String name() {
        return name;
    }

    Resources capacity() {
        return capacity;
    }

    /** Returns the number of runs started in all incarnations. */
    int starts() {
        return starts;
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    void setFailureRate(double rate) {
        failureRate = rate;
    }

    /** Sets what the worker says of its health, whether it is true or not. */
    void claimHealth(HealthCheck claim) {
        healthClaim = claim;
    }

    void checkHealth(Consumer<HealthCheck> answer) {
        time.after(2 * ONE_WAY_MILLIS, () -> answer.accept(up ? healthClaim : HealthCheck.UNANSWERED));
    }

    void delayOrders(double rate) {
        delayedOrderRate = rate;
    }

    /** Leaves a fraction of all calls unanswered and executes the start orders among them late. */
    void loseAnswers(double rate) {
        delayedOrderRate = rate;
        lostListRate = rate;
    }

    void setStalled(boolean enabled) {
        stalled = enabled;
    }

    void drain(boolean enabled) {
        draining = enabled;
    }

    /** Loses all runs and restarts after a delay under the same ID. */
    void crash(double downMillis) {
        if (!up) {
            return;
        }
        up = false;
        running.clear();
        invariants.workerCrashed(id);
        time.after(downMillis, this::begin);
    }

    /**
     * Starts another worker under a new ID at the same address. The earlier one answers nobody any more and works until
     * its runs are done or its lease expires.
     */
    void replaceWhileRunsGoOn() {
        if (!up) {
            return;
        }
        String earlier = id;
        double leaseLeftMillis = Math.max(0, (expiryMillis - clockMillis()) / CLOCK_RATE);
        running.forEach((ref, run) -> {
            double workLeftMillis = Math.max(0, run.endsMillis() - time.nowMillis());
            time.after(
                    Math.min(workLeftMillis, leaseLeftMillis), () -> invariants.ended(earlier, ref, RunOutcome.DONE));
        });
        running.clear();
        replacements++;
        id = name + "-" + replacements;
        begin();
    }

    private void begin() {
        highestRunNumbers.clear();
        ended.clear();
        lastEndNumber = 0;
        fence = 0;
        expiryMillis = 0;
        sequence = 0;
        startMillis = time.nowMillis();
        firstClockMillis = firstClocks.nextInt(MAX_FIRST_CLOCK_MILLIS);
        up = true;
        atStart.run();
    }

    /** Returns the worker's clock, in ms. */
    private long clockMillis() {
        return firstClockMillis + (long) (CLOCK_RATE * (time.nowMillis() - startMillis));
    }

    Optional<WorkerAnnouncement> announcement() {
        if (!up) {
            return Optional.empty();
        }
        sequence++;
        return Optional.of(new WorkerAnnouncement(
                new WorkerIncarnation(id, startMillis),
                "service",
                sequence,
                capacity,
                List.of("a"),
                draining,
                clockMillis()));
    }

    void start(
            WorkerIncarnation incarnation,
            RunRequest request,
            long token,
            long leaseExpiryMillis,
            Consumer<StartReply> answer) {
        time.after(ONE_WAY_MILLIS, () -> {
            if (random.nextDouble() < delayedOrderRate) {
                time.after(random.nextInt(500, 6_000), () -> start(incarnation, request, token, leaseExpiryMillis));
                time.after(CALL_TIMEOUT_MILLIS, () -> answer.accept(StartReply.UNANSWERED));
            } else if (!up) {
                answer.accept(StartReply.UNREACHABLE);
            } else {
                StartReply reply = start(incarnation, request, token, leaseExpiryMillis);
                time.after(ONE_WAY_MILLIS, () -> answer.accept(reply));
            }
        });
    }

    private StartReply start(WorkerIncarnation incarnation, RunRequest request, long token, long leaseExpiryMillis) {
        boolean listed = fence > 0 || acceptsStaleOrders;
        if (!up || !listed || !incarnation.id().equals(id)) {
            return StartReply.OTHER_LIFE;
        }
        if (token < fence) {
            return StartReply.FENCED;
        }
        fence = token;
        if (running.containsKey(request.ref())) {
            return StartReply.STARTED;
        }
        if (highestRunNumbers.getOrDefault(request.ref().task(), 0)
                >= request.ref().run()) {
            return StartReply.OUTDATED;
        }
        if (leaseExpiryMillis <= clockMillis()) {
            return StartReply.REFUSED;
        }
        extend(leaseExpiryMillis);
        highestRunNumbers.put(request.ref().task(), request.ref().run());
        starts++;
        running.put(
                request.ref(), new Running(request, time.nowMillis() + slowdown * runMillis.applyAsDouble(request)));
        invariants.started(id, request, usedCapacity(), capacity);
        return StartReply.STARTED;
    }

    private Resources usedCapacity() {
        Resources sum = Resources.NONE;
        for (Running run : running.values()) {
            sum = sum.plus(run.request().resources());
        }
        return sum;
    }

    private void extend(long leaseExpiryMillis) {
        expiryMillis = Math.max(expiryMillis, Math.min(leaseExpiryMillis, clockMillis() + 1_000));
    }

    void stop(WorkerIncarnation incarnation, RunRef ref, long token, Consumer<StopReply> answer) {
        time.after(ONE_WAY_MILLIS, () -> {
            if (!up || random.nextDouble() < delayedOrderRate) {
                time.after(CALL_TIMEOUT_MILLIS, () -> answer.accept(StopReply.UNANSWERED));
                return;
            }
            if (!incarnation.id().equals(id)) {
                time.after(ONE_WAY_MILLIS, () -> answer.accept(StopReply.OTHER_LIFE));
                return;
            }
            boolean fenced = token < fence;
            if (!fenced) {
                fence = token;
                highestRunNumbers.merge(ref.task(), ref.run(), Math::max);
                time.after(20, () -> endRun(ref, RunOutcome.STOPPED));
            }
            time.after(ONE_WAY_MILLIS, () -> answer.accept(fenced ? StopReply.FENCED : StopReply.CONFIRMED));
        });
    }

    void list(
            WorkerIncarnation incarnation,
            long token,
            long acknowledged,
            long leaseExpiryMillis,
            int waitMillis,
            Consumer<RunList> answer,
            Consumer<RunListFailure> failure) {
        time.after(ONE_WAY_MILLIS, () -> {
            if (!up || random.nextDouble() < lostListRate) {
                time.after(
                        waitMillis + WorkerTimings.LIST_TIMEOUT_MILLIS,
                        () -> failure.accept(RunListFailure.UNANSWERED));
                return;
            }
            if (token < fence || !incarnation.id().equals(id)) {
                RunListFailure reason = incarnation.id().equals(id) ? RunListFailure.FENCED : RunListFailure.OTHER_LIFE;
                time.after(ONE_WAY_MILLIS, () -> failure.accept(reason));
                return;
            }
            fence = token;
            if (leaseExpiryMillis > 0) {
                extend(leaseExpiryMillis);
            }
            ended.removeIf(end -> end.number() <= acknowledged);
            answerList(startMillis, time.nowMillis() + waitMillis, answer, failure);
        });
    }

    /** Answers a waiting list at the next end of a run; the call breaks with the incarnation that it has reached. */
    private void answerList(
            long reachedStartMillis, long untilTime, Consumer<RunList> answer, Consumer<RunListFailure> failure) {
        if (!up || startMillis != reachedStartMillis) {
            failure.accept(RunListFailure.UNANSWERED);
            return;
        }
        if (ended.isEmpty() && time.nowMillis() < untilTime) {
            time.after(1, () -> answerList(reachedStartMillis, untilTime, answer, failure));
            return;
        }
        List<RunList.Running> rows = new ArrayList<>();
        running.forEach((ref, run) -> rows.add(new RunList.Running(ref, "", percent(run))));
        RunList list = new RunList(startMillis, clockMillis(), rows, ended);
        time.after(ONE_WAY_MILLIS, () -> answer.accept(list));
    }

    private int percent(Running run) {
        double left = run.endsMillis() - time.nowMillis();
        return stalled ? 0 : (int) Math.max(1, 100 - 100 * left / (slowdown * runMillis.applyAsDouble(run.request())));
    }

    private void endDueRuns() {
        if (!up || running.isEmpty()) {
            return;
        }
        boolean lapsed = clockMillis() > expiryMillis;
        for (RunRef ref : List.copyOf(running.keySet())) {
            if (lapsed) {
                endRun(ref, RunOutcome.LAPSED);
            } else if (!stalled && running.get(ref).endsMillis() <= time.nowMillis()) {
                endRun(ref, random.nextDouble() < failureRate ? RunOutcome.FAILED : RunOutcome.DONE);
            }
        }
    }

    private void endRun(RunRef ref, RunOutcome outcome) {
        if (running.remove(ref) == null) {
            return;
        }
        lastEndNumber++;
        ended.add(new RunList.Ended(lastEndNumber, ref, outcome, ""));
        invariants.ended(id, ref, outcome);
    }
}
