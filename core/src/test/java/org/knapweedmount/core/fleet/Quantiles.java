package org.knapweedmount.core.fleet;

import java.util.Collection;

/** The quantiles of some values. */
final class Quantiles {
    private final double[] sorted;

    private Quantiles(double[] sorted) {
        this.sorted = sorted;
    }

    static Quantiles of(Collection<Double> values) {
        return new Quantiles(
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray());
    }

    /** Returns the least value that at least a share of all values do not exceed. */
    double at(double share) {
        int index = (int) Math.ceil(share * sorted.length) - 1;
        return sorted[Math.max(0, index)];
    }
}
