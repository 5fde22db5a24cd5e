package org.knapweedmount.core.worker.interference;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.message.KindInterference;
import org.knapweedmount.api.work.RunRef;

/**
 * Learns which kinds of tasks slow each other down on one worker; a pair counts only by a bound on its error.
 *
 * <p>Load pattern: runs of several kinds overlap in changing combinations, on a worker that is itself slow for seconds, cold
 * after its start, or slower the fuller it is. The run times of each kind are compared with those of the same kind on the
 * same worker ({@link KindRegression}), with the load as a term of its own, after what the runs of the other kinds were
 * slower than predicted at the time is subtracted: what slows down all kinds blames no pair.
 */
public final class InterferenceObserver {
    /** The kinds that are told apart; runs of further ones are not observed until one has not been seen for long. */
    static final int MAX_KINDS = 8;

    /** The pairs that are reported; each takes some 30 bytes of a report. */
    static final int MAX_REPORTED_PAIRS = 4;

    /** The time without a run after which what is known of a kind is discarded. */
    static final long MAX_AGE_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** The observations that a kind needs before its estimates are used. */
    private static final double MIN_WEIGHT = 60;

    /** The number of standard errors by which an estimate has to exceed the threshold; there are dozens of pairs. */
    private static final double BOUND_ERRORS = 4;

    /** The slowdown that the lower bound has to exceed for a pair to count, as a logarithm. */
    private static final double MIN_LOG_SLOWDOWN = Math.log(1.1);

    /** The slowdown that the estimate of a pair that counts may not fall below, as a logarithm. */
    private static final double KEPT_LOG_SLOWDOWN = Math.log(1.05);

    /** The bound of the logarithm of a ratio of run times; longer runs were held up by something else. */
    private static final double MAX_LOG_RATIO = 1.5;

    /** The share of a new residual in the common condition of the worker, which some runs of each kind decide. */
    private static final double CONDITION_SHARE = 0.2;

    /**
     * The part of the common condition that is subtracted; the rest is learnt, so that a lasting one returns to 0 instead of
     * passing from one kind to another.
     */
    private static final double CONDITION_KEPT = 0.9;

    private static final int SOLVE_INTERVAL = 16;
    private static final int TERMS = 2 + MAX_KINDS;
    private static final int PERCENT = 100;

    private final Map<String, Integer> kinds = new HashMap<>();
    private final KindState[] states = new KindState[MAX_KINDS];
    private final Presence presence = new Presence(MAX_KINDS);
    private final Map<RunRef, Observed> runs = new HashMap<>();
    private final List<PairChange> changes = new ArrayList<>();

    private record Observed(int kind, int milliCores, int expectedMillis, Presence.Snapshot start) {}

    /** What is known of a kind. */
    private static final class KindState {
        private final String name;
        private final KindRegression regression = new KindRegression(TERMS);
        private final boolean[] counts = new boolean[MAX_KINDS];
        private double residual;
        private int unsolved;
        private long lastNanos;

        private KindState(String name, long nowNanos) {
            this.name = name;
            this.lastNanos = nowNanos;
        }
    }

    /**
     * Records the start of a run.
     *
     * @param ref the run
     * @param kind the kind of its task, the name of its queue
     * @param milliCores the cores that it needs, in thousandths
     * @param expectedMillis its expected duration, in ms
     * @param nowNanos the current time, in ns
     */
    public void started(RunRef ref, String kind, int milliCores, int expectedMillis, long nowNanos) {
        int index = index(kind, nowNanos);
        if (index < 0 || runs.containsKey(ref)) {
            return;
        }
        Presence.Snapshot start = presence.started(index, milliCores, nowNanos);
        runs.put(ref, new Observed(index, milliCores, expectedMillis, start));
    }

    /** Returns the index of a kind, a negative number if there are too many kinds. */
    private int index(String kind, long nowNanos) {
        Integer known = kinds.get(kind);
        if (known != null) {
            return known;
        }
        for (int index = 0; index < MAX_KINDS; index++) {
            if (states[index] == null || isOutdated(index, nowNanos)) {
                replace(index, kind, nowNanos);
                return index;
            }
        }
        return -1;
    }

    private boolean isOutdated(int index, long nowNanos) {
        return presence.runs(index) == 0 && nowNanos - states[index].lastNanos > MAX_AGE_NANOS;
    }

    private void replace(int index, String kind, long nowNanos) {
        if (states[index] != null) {
            kinds.remove(states[index].name);
            for (KindState state : states) {
                if (state != null) {
                    state.regression.forget(2 + index);
                    state.counts[index] = false;
                }
            }
        }
        kinds.put(kind, index);
        states[index] = new KindState(kind, nowNanos);
    }

    /**
     * Records the end of a run.
     *
     * @param ref the run
     * @param done whether it ended well, so that its duration says something
     * @param nowNanos the current time, in ns
     */
    public void ended(RunRef ref, boolean done, long nowNanos) {
        Observed run = runs.remove(ref);
        if (run == null) {
            return;
        }
        presence.ended(run.kind(), run.milliCores(), nowNanos);
        KindState state = states[run.kind()];
        state.lastNanos = nowNanos;
        if (!done) {
            return;
        }
        double millis = (double) (nowNanos - run.start().nanos()) / TimeUnit.MILLISECONDS.toNanos(1);
        double logRatio = Math.log(Math.max(1, millis) / Math.max(1, run.expectedMillis()));
        double bounded = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
        double[] values = new double[TERMS];
        presence.write(values, run.kind(), run.start());
        double residual = bounded - state.regression.predict(values);
        state.regression.observe(values, bounded - condition(run.kind()), nowNanos);
        state.residual += CONDITION_SHARE * (residual - state.residual);
        state.unsolved++;
        if (state.unsolved >= SOLVE_INTERVAL) {
            state.unsolved = 0;
            state.regression.solve();
            updatePairs(state);
        }
    }

    /** Returns how much slower than predicted the runs of the other kinds were lately, as a logarithm. */
    private double condition(int kind) {
        double sum = 0;
        int others = 0;
        for (int other = 0; other < MAX_KINDS; other++) {
            if (other != kind && states[other] != null && states[other].regression.weight() >= SOLVE_INTERVAL) {
                sum += states[other].residual;
                others++;
            }
        }
        return others > 0 ? CONDITION_KEPT * sum / others : 0;
    }

    private void updatePairs(KindState state) {
        for (int neighbour = 0; neighbour < MAX_KINDS; neighbour++) {
            if (states[neighbour] == null) {
                continue;
            }
            double estimate = state.regression.estimate(2 + neighbour);
            double bound = estimate - BOUND_ERRORS * state.regression.error(2 + neighbour);
            boolean exceeds = bound > (state.counts[neighbour] ? KEPT_LOG_SLOWDOWN : MIN_LOG_SLOWDOWN);
            boolean counts = state.regression.weight() >= MIN_WEIGHT && exceeds;
            if (counts != state.counts[neighbour]) {
                state.counts[neighbour] = counts;
                changes.add(new PairChange(counts, state.name, states[neighbour].name, percent(estimate)));
            }
        }
    }

    private static int percent(double logRatio) {
        return (int) Math.round(PERCENT * Math.exp(logRatio));
    }

    /**
     * Returns the changes since this method was last called.
     *
     * @return the changes, which are logged
     */
    public List<PairChange> takeChanges() {
        if (changes.isEmpty()) {
            return List.of();
        }
        List<PairChange> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /**
     * Returns the pairs that count, those with the largest slowdown first.
     *
     * @param nowNanos the current time, in ns
     * @return at most {@value #MAX_REPORTED_PAIRS} pairs, with the runs of both kinds that are present
     */
    public List<KindInterference> pairs(long nowNanos) {
        List<KindInterference> found = new ArrayList<>();
        for (KindState state : states) {
            if (state == null || nowNanos - state.lastNanos > MAX_AGE_NANOS) {
                continue;
            }
            for (int neighbour = 0; neighbour < MAX_KINDS; neighbour++) {
                if (state.counts[neighbour]) {
                    found.add(pair(state, neighbour));
                }
            }
        }
        if (found.size() > 1) {
            found.sort(
                    Comparator.comparingInt(KindInterference::slowdownPercent).reversed());
        }
        return found.size() <= MAX_REPORTED_PAIRS ? found : List.copyOf(found.subList(0, MAX_REPORTED_PAIRS));
    }

    /** Returns the number of kinds that are told apart. */
    int kinds() {
        return kinds.size();
    }

    private KindInterference pair(KindState state, int neighbour) {
        return new KindInterference(
                state.name,
                states[neighbour].name,
                percent(state.regression.estimate(2 + neighbour)),
                (int) state.regression.weight(),
                presence.runs(kinds.get(state.name)),
                presence.runs(neighbour));
    }
}
