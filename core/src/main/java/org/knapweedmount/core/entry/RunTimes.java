package org.knapweedmount.core.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.knapweedmount.api.config.KindConfig;

/** The average run time of each kind, weighted towards recent runs. */
final class RunTimes {
    private static final double MIN_SAMPLE_WEIGHT = 0.05;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double MIN_RUN_MILLIS = 0.1;

    private final Map<String, Average> byKind = new HashMap<>();

    private static final class Average {
        private double millis;
        private int count;

        void add(double sampleMillis) {
            count++;
            millis += (sampleMillis - millis) * Math.max(MIN_SAMPLE_WEIGHT, 1.0 / count);
        }
    }

    void addSample(String kind, long runMicros) {
        byKind.computeIfAbsent(kind, unused -> new Average()).add(runMicros / MICROS_PER_MILLI);
    }

    /** Returns the average run time in ms, or the configured one if no task of the kind has completed. */
    double millis(KindConfig kind) {
        Average average = byKind.get(kind.name());
        double millis = average == null ? kind.expectedMillis() : average.millis;
        return Math.max(MIN_RUN_MILLIS, millis);
    }

    /** Removes kinds that no longer exist. */
    void retain(Collection<String> kinds) {
        byKind.keySet().retainAll(kinds);
    }
}
