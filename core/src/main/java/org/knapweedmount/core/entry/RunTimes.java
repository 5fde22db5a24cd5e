package org.knapweedmount.core.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.knapweedmount.api.config.KindConfig;

/** The run times of each kind, averaged with a preference for recent ones. */
final class RunTimes {
    private static final double SMALLEST_WEIGHT = 0.05;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double SHORTEST_MILLIS = 0.1;

    private final Map<String, Average> byKind = new HashMap<>();

    private static final class Average {
        private double millis;
        private int count;

        void add(double observed) {
            count++;
            millis += (observed - millis) * Math.max(SMALLEST_WEIGHT, 1.0 / count);
        }
    }

    void observed(String kind, long runMicros) {
        byKind.computeIfAbsent(kind, unused -> new Average()).add(runMicros / MICROS_PER_MILLI);
    }

    /** Returns the average run time in ms, or the expected one until there is an observation. */
    double millis(KindConfig kind) {
        Average average = byKind.get(kind.name());
        double millis = average == null ? kind.expectedMillis() : average.millis;
        return Math.max(SHORTEST_MILLIS, millis);
    }

    /** Forgets kinds that no longer exist. */
    void retain(Collection<String> kinds) {
        byKind.keySet().retainAll(kinds);
    }
}
