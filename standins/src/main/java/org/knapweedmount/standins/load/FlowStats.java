package org.knapweedmount.standins.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.Histogram;

/**
 * Statistics of the requests of one flow.
 *
 * <p>Response times and their ratios to the ideal are recorded for complete requests only; the response times of
 * refusals are recorded separately. Not thread-safe, except for {@link #recordNotSent}.
 */
final class FlowStats {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long RATIO_SCALE = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final int idealOverheadMicros;
    private final double recordedSeconds;
    private final Histogram responseMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram ratio = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram refusalMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final AtomicLong notSent = new AtomicLong();
    private final Map<RequestOutcome, Long> outcomes = new EnumMap<>(RequestOutcome.class);
    private final Map<String, Long> reasons = new TreeMap<>();
    private long sent;
    private long resubmitted;
    private long contradictions;

    /**
     * Creates statistics without requests.
     *
     * @param idealOverheadMicros the time added to the run time to get the ideal response time, in µs
     * @param recordedSeconds the time during which requests of the flow are recorded, in s
     */
    FlowStats(int idealOverheadMicros, double recordedSeconds) {
        this.idealOverheadMicros = idealOverheadMicros;
        this.recordedSeconds = recordedSeconds;
    }

    void recordSent() {
        sent++;
    }

    /** Counts a request that was not sent because too many are in flight; thread-safe. */
    void recordNotSent() {
        notSent.incrementAndGet();
    }

    void recordResult(RequestResult result, long responseTimeMicros, long longestRunMicros) {
        outcomes.merge(result.outcome(), 1L, Long::sum);
        if (!result.reason().isEmpty()) {
            reasons.merge(result.outcome().text() + " " + result.reason(), 1L, Long::sum);
        }
        if (result.outcome() == RequestOutcome.COMPLETE) {
            long idealMicros = Math.max(1, longestRunMicros + idealOverheadMicros);
            responseMicros.recordValue(responseTimeMicros);
            ratio.recordValue(responseTimeMicros * RATIO_SCALE / idealMicros);
        } else if (result.outcome() == RequestOutcome.NOT_RUN) {
            refusalMicros.recordValue(responseTimeMicros);
        }
    }

    void recordResubmission(RequestOutcome first, RequestOutcome second) {
        resubmitted++;
        contradictions += first.contradicts(second) ? 1 : 0;
    }

    FlowSummary summary(String name) {
        return new FlowSummary(
                name,
                sent,
                count(RequestOutcome.COMPLETE),
                count(RequestOutcome.FAILED),
                count(RequestOutcome.NOT_RUN),
                count(RequestOutcome.UNKNOWN),
                count(RequestOutcome.UNREACHED),
                count(RequestOutcome.LOST),
                count(RequestOutcome.NO_ANSWER),
                count(RequestOutcome.WRONG),
                notSent.get(),
                resubmitted,
                contradictions,
                Percentiles.of(responseMicros, MICROS_PER_MILLI),
                Percentiles.of(ratio, RATIO_SCALE),
                Percentiles.of(refusalMicros, MICROS_PER_MILLI),
                recordedSeconds > 0 ? count(RequestOutcome.NOT_RUN) / recordedSeconds : 0,
                Map.copyOf(reasons));
    }

    private long count(RequestOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }
}
