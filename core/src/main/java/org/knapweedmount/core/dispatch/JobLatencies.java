package org.knapweedmount.core.dispatch;

import java.util.List;

import org.knapweedmount.core.metric.MillisHistogram;

/** Latency histogram of answered jobs by kind of result; any thread may read it. */
public final class JobLatencies {
    /** The upper bounds of the buckets, in ms; from an immediate refusal to longer than any caller waits. */
    public static final List<Integer> BOUNDS_MILLIS = List.of(10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400);

    private final MillisHistogram<JobResult.Kind> histogram =
            new MillisHistogram<>(JobResult.Kind.class, BOUNDS_MILLIS);

    /** Creates an empty histogram. */
    public JobLatencies() {
        // Nothing to set up.
    }

    void record(JobResult.Kind kind, long millis) {
        histogram.record(kind, millis);
    }

    /**
     * Returns the histogram.
     *
     * @return the number of jobs by kind of result and latency
     */
    public MillisHistogram<JobResult.Kind> histogram() {
        return histogram;
    }

    /**
     * Returns the number of jobs in the first buckets.
     *
     * @param kind the kind of result
     * @param buckets the number of buckets to add up, at most one more than there are bounds
     * @return the number of jobs
     */
    public long cumulativeCount(JobResult.Kind kind, int buckets) {
        return histogram.cumulativeCount(kind, buckets);
    }
}
