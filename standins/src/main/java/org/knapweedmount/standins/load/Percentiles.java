package org.knapweedmount.standins.load;

import org.HdrHistogram.Histogram;

/**
 * The mean, percentiles and maximum of a histogram.
 *
 * @param mean the mean
 * @param p50 the median
 * @param p90 the 90th percentile
 * @param p99 the 99th percentile
 * @param p999 the 99.9th percentile
 * @param max the largest value
 */
record Percentiles(double mean, double p50, double p90, double p99, double p999, double max) {
    private static final double ROUNDING = 1_000;

    /**
     * Summarises a histogram.
     *
     * @param histogram the histogram
     * @param divisor the number by which each value is divided
     * @return the summary, all 0 if the histogram is empty
     */
    static Percentiles of(Histogram histogram, double divisor) {
        return new Percentiles(
                rounded(histogram.getMean() / divisor),
                rounded(histogram.getValueAtPercentile(50) / divisor),
                rounded(histogram.getValueAtPercentile(90) / divisor),
                rounded(histogram.getValueAtPercentile(99) / divisor),
                rounded(histogram.getValueAtPercentile(99.9) / divisor),
                rounded(histogram.getMaxValue() / divisor));
    }

    /** Rounds to three decimal places. */
    static double rounded(double value) {
        return Math.round(value * ROUNDING) / ROUNDING;
    }
}
