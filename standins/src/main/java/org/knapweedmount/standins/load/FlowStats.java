package org.knapweedmount.standins.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.Histogram;

/**
 * What became of the requests of one flow.
 *
 * <p>Response times and their ratio to the ideal are kept of complete requests only, and apart from them the times of
 * refusals. Used by one thread, but for {@link #notSent}.
 */
final class FlowStats {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long RATIO_UNIT = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final int idealOverheadMicros;
    private final double recordedSeconds;
    private final Histogram responseMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram ratio = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram refusalMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final AtomicLong notSent = new AtomicLong();
    private final Map<Ending, Long> endings = new EnumMap<>(Ending.class);
    private final Map<String, Long> reasons = new TreeMap<>();
    private long sent;
    private long resubmitted;
    private long contradictions;

    /**
     * Creates counts of 0.
     *
     * @param idealOverheadMicros what is added to the run time for the ideal response time, in µs
     * @param recordedSeconds how long requests of the flow are recorded, in s
     */
    FlowStats(int idealOverheadMicros, double recordedSeconds) {
        this.idealOverheadMicros = idealOverheadMicros;
        this.recordedSeconds = recordedSeconds;
    }

    void sent() {
        sent++;
    }

    /** Counts a request that was not sent because too many are in flight; any thread may call it. */
    void notSent() {
        notSent.incrementAndGet();
    }

    void ended(Answer answer, long responseTimeMicros, long longestRunMicros) {
        endings.merge(answer.ending(), 1L, Long::sum);
        if (!answer.reason().isEmpty()) {
            reasons.merge(answer.ending().text() + " " + answer.reason(), 1L, Long::sum);
        }
        if (answer.ending() == Ending.COMPLETE) {
            long idealMicros = Math.max(1, longestRunMicros + idealOverheadMicros);
            responseMicros.recordValue(responseTimeMicros);
            ratio.recordValue(responseTimeMicros * RATIO_UNIT / idealMicros);
        } else if (answer.ending() == Ending.NOT_RUN) {
            refusalMicros.recordValue(responseTimeMicros);
        }
    }

    void resubmitted(Ending first, Ending second) {
        resubmitted++;
        contradictions += first.contradicts(second) ? 1 : 0;
    }

    FlowSummary summary(String name) {
        return new FlowSummary(
                name,
                sent,
                count(Ending.COMPLETE),
                count(Ending.FAILED),
                count(Ending.NOT_RUN),
                count(Ending.UNKNOWN),
                count(Ending.UNREACHED),
                count(Ending.LOST),
                count(Ending.NO_ANSWER),
                count(Ending.WRONG),
                notSent.get(),
                resubmitted,
                contradictions,
                Percentiles.of(responseMicros, MICROS_PER_MILLI),
                Percentiles.of(ratio, RATIO_UNIT),
                Percentiles.of(refusalMicros, MICROS_PER_MILLI),
                recordedSeconds > 0 ? count(Ending.NOT_RUN) / recordedSeconds : 0,
                Map.copyOf(reasons));
    }

    private long count(Ending ending) {
        return endings.getOrDefault(ending, 0L);
    }
}
