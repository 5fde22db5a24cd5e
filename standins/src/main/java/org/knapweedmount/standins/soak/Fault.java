package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * A fault of a soak.
 *
 * @param millis when it begins, in ms since the begin of the faults
 * @param kind what happens
 * @param target a number that selects the process, worker or link, by its remainder
 * @param durationMillis how long it lasts, in ms
 */
record Fault(long millis, FaultKind kind, int target, int durationMillis) {
    private static final int MEAN_PAUSE_MILLIS = 450;
    private static final int MAX_SERIES = 4;
    private static final int MIN_DURATION_MILLIS = 300;
    private static final int MAX_DURATION_MILLIS = 4_000;
    private static final double SHORT_SHARE = 0.3;
    private static final int MAX_TARGET = 1_000_000;

    /** Draws faults that come in series on one target and overlap. */
    static List<Fault> draw(long seed, long totalMillis) {
        Random random = new Random(seed);
        int totalWeight =
                Arrays.stream(FaultKind.values()).mapToInt(FaultKind::weight).sum();
        List<Fault> faults = new ArrayList<>();
        for (long millis = 0; millis < totalMillis; ) {
            FaultKind kind = kind(random.nextInt(totalWeight));
            int target = random.nextInt(MAX_TARGET);
            int series = 1 + random.nextInt(MAX_SERIES) / 2;
            for (int i = 0; i < series && millis < totalMillis; i++) {
                boolean shortTime = random.nextDouble() < SHORT_SHARE;
                int max = shortTime ? 2 * MIN_DURATION_MILLIS : MAX_DURATION_MILLIS;
                faults.add(new Fault(millis, kind, target, random.nextInt(MIN_DURATION_MILLIS, max)));
                millis += 1 + (long) (-Math.log(1 - random.nextDouble()) * MEAN_PAUSE_MILLIS);
            }
        }
        return faults;
    }

    private static FaultKind kind(int drawn) {
        int rest = drawn;
        for (FaultKind kind : FaultKind.values()) {
            rest -= kind.weight();
            if (rest < 0) {
                return kind;
            }
        }
        throw new IllegalArgumentException("drawn number " + drawn + " is not below the sum of all weights");
    }
}
