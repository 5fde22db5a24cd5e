package org.knapweedmount.standins.load;

import java.util.List;
import java.util.Locale;

/**
 * The report of a load.
 *
 * @param ratePerSecond the rate of a flow with share 1, in requests per second
 * @param seconds the duration of the load, in s
 * @param seed the seed of the random arrivals and run times
 * @param idealOverheadMicros the time added to the run time to get the ideal response time, in µs
 * @param flows the statistics of each flow
 */
record LoadReport(double ratePerSecond, double seconds, long seed, int idealOverheadMicros, List<FlowSummary> flows) {
    private static final String COUNTS = "%-20s %8s %8s %7s %8s %8s %9s %6s %9s %6s %8s %8s %6s";
    private static final String TIMES = "%-20s %9s %9s %9s %9s %9s %9s %9s %9s %10s %10s %9s";

    LoadReport {
        flows = List.copyOf(flows);
    }

    static LoadReport of(LoadSettings settings, List<FlowSummary> flows) {
        return new LoadReport(
                settings.ratePerSecond(), settings.seconds(), settings.seed(), settings.idealOverheadMicros(), flows);
    }

    /** Returns whether a response was wrong, or two responses to one submission contradict each other. */
    boolean hasViolations() {
        return flows.stream().anyMatch(flow -> flow.wrong() > 0 || flow.contradictions() > 0);
    }

    /** Returns the report as a table in plain text. */
    String table() {
        StringBuilder text = new StringBuilder();
        appendCounts(text);
        appendTimes(text);
        return text.toString();
    }

    private void appendCounts(StringBuilder text) {
        appendRow(
                text,
                COUNTS,
                "flow",
                "sent",
                "complete",
                "failed",
                "not-run",
                "unknown",
                "unreached",
                "lost",
                "no-answer",
                "wrong",
                "not-sent",
                "resubmit",
                "contra");
        for (FlowSummary flow : flows) {
            appendRow(
                    text,
                    COUNTS,
                    flow.flow(),
                    flow.sent(),
                    flow.complete(),
                    flow.failed(),
                    flow.notRun(),
                    flow.unknown(),
                    flow.unreached(),
                    flow.lost(),
                    flow.noAnswer(),
                    flow.wrong(),
                    flow.notSent(),
                    flow.resubmitted(),
                    flow.contradictions());
        }
    }

    private void appendTimes(StringBuilder text) {
        appendRow(
                text,
                TIMES,
                "response ms, ratio",
                "mean",
                "p50",
                "p90",
                "p99",
                "p99.9",
                "max",
                "ratio p50",
                "ratio p99",
                "refuse p50",
                "refuse p99",
                "refused/s");
        for (FlowSummary flow : flows) {
            Percentiles response = flow.responseMillis();
            Percentiles ratio = flow.ratioToIdeal();
            appendRow(
                    text,
                    TIMES,
                    flow.flow(),
                    response.mean(),
                    response.p50(),
                    response.p90(),
                    response.p99(),
                    response.p999(),
                    response.max(),
                    ratio.p50(),
                    ratio.p99(),
                    flow.refusalMillis().p50(),
                    flow.refusalMillis().p99(),
                    Percentiles.rounded(flow.refusalsPerSecond()));
        }
    }

    private static void appendRow(StringBuilder text, String format, Object... columns) {
        text.append(String.format(Locale.ROOT, format, columns)).append('\n');
    }
}
