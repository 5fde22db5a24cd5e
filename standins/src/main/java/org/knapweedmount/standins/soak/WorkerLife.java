package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One incarnation of a worker: its runs, the lease that all of them share, its fencing token and the ends that it lists.
 *
 * <p>Times are in ms since the start of the soak; the lease is measured on the worker's own clock, which begins at any value
 * and may be slow.
 */
final class WorkerLife {
    static final int CAPACITY_MILLI_CORES = 32_000;

    /** How long a worker may be without a call that it accepts: the users' bound for the return of service, in ms. */
    static final int MAX_CLOSED_MILLIS = 12_000;

    private static final int MAX_LEASE_MILLIS = 1_000;
    private static final int MAX_STOP_MILLIS = 50;

    private final String id;
    private final long startUnixMillis;
    private final long startMillis;
    private final long firstClockMillis;
    private final double clockRate;
    private final RunHistory history;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long fence;
    private OptionalLong lastAcceptedMillis = OptionalLong.empty();
    private OptionalLong refusingSinceMillis = OptionalLong.empty();
    private boolean refusedTooLong;
    private long leaseExpiryMillis;
    private long lastEndNumber;

    /** The result of a call to start a run. */
    enum StartResult {
        STARTED,
        FENCE,
        OLD,
        LATE;

        /** Returns the reason of a refusal as it is sent, empty if the run was started. */
        String reason() {
            return this == STARTED ? "" : name().toLowerCase(Locale.ROOT);
        }
    }

    /** A run that takes capacity. */
    static final class Run {
        private final String task;
        private final int number;
        private final long startMillis;
        private final long doneMillis;
        private long stoppedMillis = Long.MAX_VALUE;

        private Run(String task, int number, long startMillis, long doneMillis) {
            this.task = task;
            this.number = number;
            this.startMillis = startMillis;
            this.doneMillis = doneMillis;
        }

        String task() {
            return task;
        }

        int number() {
            return number;
        }

        private long endMillis() {
            return Math.min(doneMillis, stoppedMillis);
        }

        long percent(long nowMillis) {
            return Math.min(99, 100 * (nowMillis - startMillis) / Math.max(1, doneMillis - startMillis));
        }
    }

    /** An end that is listed until it is acknowledged. */
    record End(long number, String task, int run, RunEnd how) {}

    WorkerLife(
            String id,
            long startUnixMillis,
            long startMillis,
            long firstClockMillis,
            double clockRate,
            RunHistory history) {
        this.id = id;
        this.startUnixMillis = startUnixMillis;
        this.startMillis = startMillis;
        this.firstClockMillis = firstClockMillis;
        this.clockRate = clockRate;
        this.history = history;
    }

    String id() {
        return id;
    }

    long startUnixMillis() {
        return startUnixMillis;
    }

    private static String key(String task, int number) {
        return task + "#" + number;
    }

    String name() {
        return id + "@" + startUnixMillis;
    }

    long clockMillis(long nowMillis) {
        return firstClockMillis + (long) ((nowMillis - startMillis) * clockRate);
    }

    /** Ends what has ended by now, in the order of the ends. */
    void advance(long nowMillis) {
        long lapseMillis = startMillis + (long) Math.ceil((leaseExpiryMillis - firstClockMillis) / clockRate);
        for (Optional<Run> next = nextToEnd(); next.isPresent(); next = nextToEnd()) {
            Run run = next.get();
            long endMillis = Math.min(run.endMillis(), Math.max(lapseMillis, run.startMillis));
            if (endMillis > nowMillis) {
                return;
            }
            RunEnd how = endMillis < run.endMillis()
                    ? RunEnd.LAPSED
                    : run.doneMillis <= run.stoppedMillis ? RunEnd.DONE : RunEnd.STOPPED;
            end(run, how, endMillis);
        }
    }

    private Optional<Run> nextToEnd() {
        return runs.values().stream().min(Comparator.comparingLong(Run::endMillis));
    }

    private void end(Run run, RunEnd how, long millis) {
        runs.remove(key(run.task, run.number));
        highestEnded.merge(run.task, run.number, Math::max);
        lastEndNumber++;
        ends.add(new End(lastEndNumber, run.task, run.number, how));
        history.ended(name(), run.task, run.number, how, millis);
    }

    private boolean accepts(long token, long nowMillis) {
        if (token < fence) {
            refused(token, nowMillis);
            return false;
        }
        fence = token;
        refusingSinceMillis = OptionalLong.empty();
        lastAcceptedMillis = OptionalLong.of(nowMillis);
        return true;
    }

    private void refused(long token, long nowMillis) {
        long sinceMillis = refusingSinceMillis.orElse(nowMillis);
        refusingSinceMillis = OptionalLong.of(sinceMillis);
        if (!refusedTooLong && nowMillis - sinceMillis > MAX_CLOSED_MILLIS) {
            refusedTooLong = true;
            String detail = "worker " + name() + " has refused all calls since " + sinceMillis + "; token " + token
                    + ", seen " + fence;
            history.add(new Violation(Violation.Rule.CLOSED, nowMillis, detail));
        }
    }

    private void extendLease(long untilMillis, long nowMillis) {
        long limit = clockMillis(nowMillis) + MAX_LEASE_MILLIS;
        leaseExpiryMillis = Math.max(leaseExpiryMillis, Math.min(untilMillis, limit));
    }

    StartResult start(
            String task, int number, TaskSpec spec, long untilMillis, long token, double slowdown, long nowMillis) {
        if (!accepts(token, nowMillis)) {
            return StartResult.FENCE;
        }
        if (untilMillis <= clockMillis(nowMillis)) {
            return StartResult.LATE;
        }
        extendLease(untilMillis, nowMillis);
        if (runs.containsKey(key(task, number))) {
            return StartResult.STARTED;
        }
        if (highestEnded.getOrDefault(task, 0) >= number) {
            return StartResult.OLD;
        }
        history.started(name(), CAPACITY_MILLI_CORES, task, number, spec.milliCores(), nowMillis);
        runs.put(key(task, number), new Run(task, number, nowMillis, nowMillis + (long) (spec.runMillis() * slowdown)));
        return StartResult.STARTED;
    }

    /** Orders the stop of a run, which takes the given time; a run that is not there yet will be rejected. */
    boolean stop(String task, int number, long token, int stopMillis, long nowMillis) {
        if (!accepts(token, nowMillis)) {
            return false;
        }
        highestEnded.merge(task, number, Math::max);
        Run run = runs.get(key(task, number));
        if (run != null) {
            run.stoppedMillis = Math.min(run.stoppedMillis, nowMillis + Math.min(stopMillis, MAX_STOP_MILLIS));
        }
        return true;
    }

    /** Extends the lease and forgets acknowledged ends. */
    boolean hold(long untilMillis, long acknowledgedEnd, long token, long nowMillis) {
        if (!accepts(token, nowMillis)) {
            return false;
        }
        extendLease(untilMillis, nowMillis);
        ends.removeIf(end -> end.number <= acknowledgedEnd);
        return true;
    }

    /** Returns whether this life had begun by a time and has accepted no call since then. */
    boolean isClosedSince(long millis) {
        return startMillis <= millis && (lastAcceptedMillis.isEmpty() || lastAcceptedMillis.getAsLong() < millis);
    }

    List<Run> runs() {
        return List.copyOf(runs.values());
    }

    List<End> ends() {
        return List.copyOf(ends);
    }

    /** Ends all runs without a trace, as a crash does. */
    void crash(long nowMillis) {
        List.copyOf(runs.values()).forEach(run -> end(run, RunEnd.LOST, nowMillis));
    }
}
