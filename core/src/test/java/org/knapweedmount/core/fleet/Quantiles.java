package org.knapweedmount.core.fleet;

import java.util.Collection;

/** Quantiles of a set of values. */
final class Quantiles {
    private final double[] sorted;

    private Quantiles(double[] sorted) {
        this.sorted = sorted;
    }

    static Quantiles of(Collection<Double> values) {
        return new Quantiles(
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray());
    }

    /** Returns the smallest value that at least the given fraction of the values do not exceed. */
    double at(double share) {
        int index = (int) Math.ceil(share * sorted.length) - 1;
        return sorted[Math.max(0, index)];
    }
}
