package org.knapweedmount.core.dispatch;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;

/** Latency histogram of answered jobs by kind of result; any thread may read it. */
public final class JobLatencies {
    /** The upper bounds of the buckets, in ms; from an immediate refusal to longer than any caller waits. */
    public static final List<Integer> BOUNDS_MILLIS = List.of(10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400);

    private final Map<JobResult.Kind, AtomicLongArray> counts = new EnumMap<>(JobResult.Kind.class);

    /** Creates an empty histogram. */
    public JobLatencies() {
        for (JobResult.Kind kind : JobResult.Kind.values()) {
            counts.put(kind, new AtomicLongArray(BOUNDS_MILLIS.size() + 1));
        }
    }

    void record(JobResult.Kind kind, long millis) {
        int index = 0;
        while (index < BOUNDS_MILLIS.size() && millis > BOUNDS_MILLIS.get(index)) {
            index++;
        }
        counts.get(kind).incrementAndGet(index);
    }

    /**
     * Returns the number of jobs in the first buckets.
     *
     * @param kind the kind of result
     * @param buckets the number of buckets to add up, at most one more than there are bounds
     * @return the number of jobs
     */
    public long cumulativeCount(JobResult.Kind kind, int buckets) {
        long sum = 0;
        for (int index = 0; index < buckets; index++) {
            sum += counts.get(kind).get(index);
        }
        return sum;
    }
}
