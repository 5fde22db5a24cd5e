package org.knapweedmount.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.dispatch.JobResult;

/** Submits jobs of several kinds to the entries of a fleet, and measures how many of each kind complete on time. */
final class LoadGenerator {
    static final int LOOKUP_MILLIS = 86;
    static final int HOLD_MILLIS = 286;
    static final int MATCH_MILLIS = 1_286;

    /** The worth of a job that completes after its target, and the number of targets after which it earns nothing. */
    private static final double LATE_WORTH = 0.2;

    private static final int MAX_LATE_TARGETS = 3;

    private final WorkFleet fleet;
    private ToDoubleFunction<String> targetRunMillis = job -> runMillis().get(job);
    private final Map<String, Integer> runMillis = new HashMap<>();
    private final Map<WorkQueue, List<String>> submitted = new HashMap<>();
    private Predicate<Incarnation> isCalled = entry -> true;

    LoadGenerator(WorkFleet fleet) {
        this.fleet = fleet;
    }

    /** Lets callers call only some entries. */
    void callOnly(Predicate<Incarnation> condition) {
        isCalled = condition;
    }

    /** Submits jobs at a constant rate until a time, in ms. */
    void send(WorkQueue queue, double perSecond, int tasks, int millis, double untilMillis) {
        fleet.time().after(1_000 / perSecond, () -> {
            if (fleet.time().nowMillis() > untilMillis) {
                return;
            }
            List<Incarnation> entries =
                    fleet.entries().stream().filter(isCalled).toList();
            Incarnation entry = entries.get(fleet.random().nextInt(entries.size()));
            int milliCores = 1_400 + fleet.random().nextInt(400);
            String id = fleet.nextId();
            runMillis.put(id, millis);
            fleet.submit(entry, id, queue, tasks, milliCores, millis);
            submitted.computeIfAbsent(queue, key -> new ArrayList<>()).add(id);
            send(queue, perSecond, tasks, millis, untilMillis);
        });
    }

    /** Submits a typical mix that uses 26 cores for lookups, 64 for holds and 36 for matches. */
    void sendTypicalLoad(double untilMillis) {
        send(WorkFleet.LOOKUPS, 24, 8, LOOKUP_MILLIS, untilMillis);
        send(WorkFleet.HOLDS, 70, 2, HOLD_MILLIS, untilMillis);
        send(WorkFleet.MATCHES, 4.4, 4, MATCH_MILLIS, untilMillis);
    }

    /** Sets the actual run time of the longest task of a job, in ms, from which the target of the job is computed. */
    void setTargetRunMillis(ToDoubleFunction<String> millis) {
        targetRunMillis = millis;
    }

    /** Returns the declared run time of each job's tasks, in ms. */
    Map<String, Integer> runMillis() {
        return runMillis;
    }

    /** Returns the fraction of a queue's jobs that completed on time. */
    double onTimeFraction(WorkQueue queue) {
        List<String> jobs = submitted.get(queue);
        long onTime = jobs.stream().filter(this::isOnTime).count();
        return (double) onTime / jobs.size();
    }

    private boolean isOnTime(String job) {
        return isCompletedWithin(1, job);
    }

    private boolean isCompletedWithin(int targets, String job) {
        JobResult result = fleet.results().get(job);
        boolean complete = result != null && result.kind() == JobResult.Kind.COMPLETED;
        return complete && fleet.responseMillis(job) <= targets * (1.6 * targetRunMillis.applyAsDouble(job) + 60);
    }

    /** Returns the fraction of the worth of a queue's jobs that was earned: late jobs earn a fifth, up to three targets. */
    double earnedFraction(WorkQueue queue) {
        List<String> jobs = submitted.get(queue);
        double earned = 0;
        for (String job : jobs) {
            earned += isOnTime(job) ? 1 : isCompletedWithin(MAX_LATE_TARGETS, job) ? LATE_WORTH : 0;
        }
        return earned / jobs.size();
    }

    /** Returns the fraction of all jobs that completed, late ones included. */
    double completedFraction() {
        List<String> jobs = submitted.values().stream().flatMap(List::stream).toList();
        long completed = jobs.stream()
                .map(fleet.results()::get)
                .filter(result -> result != null && result.kind() == JobResult.Kind.COMPLETED)
                .count();
        return (double) completed / jobs.size();
    }

    /** Counts the jobs of a queue by result, for the message of a failed assertion. */
    Map<String, Integer> outcomes(WorkQueue queue) {
        Map<String, Integer> counts = new TreeMap<>();
        for (String job : submitted.get(queue)) {
            JobResult result = fleet.results().get(job);
            String outcome =
                    result == null ? "none" : isOnTime(job) ? "on time" : result.kind() + " " + result.reason();
            counts.merge(outcome, 1, Integer::sum);
        }
        return counts;
    }
}
