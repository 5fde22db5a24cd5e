package org.knapweedmount.standins.replay;

import java.util.List;
import java.util.Locale;

import org.HdrHistogram.Histogram;

/** A table of response times and of their ratios to the ideal response time, with one row for each policy. */
final class ResponseTable {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double RATIO_SCALE = 1_000;
    private static final String HEADER = String.format(
            Locale.ROOT,
            "%-14s %8s %10s %10s %10s %9s %9s %9s%n",
            "policy",
            "requests",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "ratio p50",
            "ratio p99",
            "p99.9");

    private final List<Arrival> arrivals;
    private final Fleet fleet;
    private final long skipMicros;
    private final StringBuilder rows = new StringBuilder(HEADER);

    /**
     * Creates a table without rows.
     *
     * @param arrivals the requests
     * @param fleet the executors
     * @param skipMicros the time in µs before which requests are excluded
     */
    ResponseTable(List<Arrival> arrivals, Fleet fleet, long skipMicros) {
        this.arrivals = arrivals;
        this.fleet = fleet;
        this.skipMicros = skipMicros;
    }

    /**
     * Adds a row.
     *
     * @param name the name of the policy
     * @param responses the response time of each request, in µs
     */
    void addRow(String name, long[] responses) {
        Histogram times = new Histogram(SIGNIFICANT_DIGITS);
        Histogram ratios = new Histogram(SIGNIFICANT_DIGITS);
        for (int index = 0; index < responses.length; index++) {
            Arrival arrival = arrivals.get(index);
            if (arrival.arrivalMicros() >= skipMicros) {
                double ideal = Math.max(1, arrival.runMicros() + 2.0 * fleet.oneWayMicros());
                times.recordValue(responses[index]);
                ratios.recordValue(Math.round(responses[index] / ideal * RATIO_SCALE));
            }
        }
        rows.append(formatRow(name, times, ratios));
    }

    String text() {
        return rows.toString();
    }

    private static String formatRow(String name, Histogram times, Histogram ratios) {
        return String.format(
                Locale.ROOT,
                "%-14s %8d %10.1f %10.1f %10.1f %9.3f %9.3f %9.3f%n",
                name,
                times.getTotalCount(),
                times.getValueAtPercentile(50) / MICROS_PER_MILLI,
                times.getValueAtPercentile(99) / MICROS_PER_MILLI,
                times.getValueAtPercentile(99.9) / MICROS_PER_MILLI,
                ratios.getValueAtPercentile(50) / RATIO_SCALE,
                ratios.getValueAtPercentile(99) / RATIO_SCALE,
                ratios.getValueAtPercentile(99.9) / RATIO_SCALE);
    }
}
