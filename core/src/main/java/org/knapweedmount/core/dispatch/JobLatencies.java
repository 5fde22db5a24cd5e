package org.knapweedmount.core.dispatch;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;

/** Counts answered jobs by what became of them and by how long that took; any thread may read it. */
public final class JobLatencies {
    /** The upper bounds of the classes, in ms; from a refusal at once to what no caller waits for. */
    public static final List<Integer> BOUNDS_MILLIS = List.of(10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400);

    private final Map<JobResult.Kind, AtomicLongArray> counts = new EnumMap<>(JobResult.Kind.class);

    /** Creates counts of no job. */
    public JobLatencies() {
        for (JobResult.Kind kind : JobResult.Kind.values()) {
            counts.put(kind, new AtomicLongArray(BOUNDS_MILLIS.size() + 1));
        }
    }

    void answered(JobResult.Kind kind, long millis) {
        int index = 0;
        while (index < BOUNDS_MILLIS.size() && millis > BOUNDS_MILLIS.get(index)) {
            index++;
        }
        counts.get(kind).incrementAndGet(index);
    }

    /**
     * Counts the jobs that were answered within a time.
     *
     * @param kind what became of them
     * @param classes how many of the classes to count, at most one more than there are bounds
     * @return the number of jobs
     */
    public long cumulativeCount(JobResult.Kind kind, int classes) {
        long sum = 0;
        for (int index = 0; index < classes; index++) {
            sum += counts.get(kind).get(index);
        }
        return sum;
    }
}
