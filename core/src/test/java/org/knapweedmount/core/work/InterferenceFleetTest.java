package org.knapweedmount.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

/**
 * Replays holds that take 1.6 times as long if a match runs on their worker when they start, at a load that leaves room to keep
 * them apart.
 *
 * <p>Guards against a pair that agents do not find, that does not reach the entries, or that does not change placement.
 */
class InterferenceFleetTest {
    private static final int ID_LENGTH = 16;
    private static final double SLOWDOWN = 1.6;
    private static final int SECONDS = 160;
    private static final int FIRST_MILLIS = 20_000;
    private static final int LEARNT_MILLIS = 100_000;

    private final WorkFleet fleet = WorkFleet.of(23, 3, 11, 18_000);
    private final LoadGenerator load = new LoadGenerator(fleet);
    private final double startMillis = fleet.time().nowMillis();

    /** When the matches on each worker end at the latest, in ms. */
    private final Map<String, Double> matchesEndMillis = new HashMap<>();

    private final Map<RunRef, Double> durations = new HashMap<>();
    private final List<Boolean> slowedAtFirst = new ArrayList<>();
    private final List<Boolean> slowedLater = new ArrayList<>();

    private double runMillis(FakeWorker worker, RunRequest request) {
        return durations.computeIfAbsent(request.ref(), ref -> start(worker, ref));
    }

    private double start(FakeWorker worker, RunRef ref) {
        double nowMillis = fleet.time().nowMillis();
        int millis = load.runMillis().get(ref.task().substring(0, ID_LENGTH));
        boolean besideMatch = matchesEndMillis.getOrDefault(worker.name(), 0.0) > nowMillis;
        if (millis == LoadGenerator.MATCH_MILLIS) {
            matchesEndMillis.merge(worker.name(), nowMillis + millis, Math::max);
        }
        if (millis != LoadGenerator.HOLD_MILLIS) {
            return millis;
        }
        double elapsedMillis = nowMillis - startMillis;
        if (elapsedMillis < FIRST_MILLIS) {
            slowedAtFirst.add(besideMatch);
        } else if (elapsedMillis > LEARNT_MILLIS) {
            slowedLater.add(besideMatch);
        }
        return besideMatch ? SLOWDOWN * millis : millis;
    }

    private static double fraction(List<Boolean> slowed) {
        return (double) slowed.stream().filter(each -> each).count() / slowed.size();
    }

    @Test
    void kindsThatSlowEachOtherDownAreKeptApart() {
        fleet.workers().forEach(worker -> worker.setRunMillis(request -> runMillis(worker, request)));
        double end = startMillis + SECONDS * 1_000.0;
        load.send(WorkFleet.HOLDS, 40, 2, LoadGenerator.HOLD_MILLIS, end);
        load.send(WorkFleet.LOOKUPS, 10, 8, LoadGenerator.LOOKUP_MILLIS, end);
        load.send(WorkFleet.MATCHES, 0.8, 4, LoadGenerator.MATCH_MILLIS, end);
        fleet.time().run(SECONDS * 1_000.0 + 3_000);

        assertThat(fraction(slowedAtFirst), greaterThan(0.05));
        assertThat(fraction(slowedLater), lessThan(fraction(slowedAtFirst) / 2));
    }
}
