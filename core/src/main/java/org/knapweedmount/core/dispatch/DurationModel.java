package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns how long tasks really run, from the declared estimates and the runs that ended.
 *
 * <p>Estimates are often far off, but the tasks of one queue are off in the same direction.
 */
final class DurationModel {
    private static final double WEIGHT = 0.05; // some dozens of runs decide
    private static final double MIN_RATIO = 0.2;
    private static final double MAX_RATIO = 8;

    private final Map<String, Double> ratios = new HashMap<>();

    /** Returns how long a task of a queue is expected to run on an ordinary worker, in ms. */
    double expectedMillis(String queue, int estimateMillis) {
        return Math.max(1, estimateMillis) * ratios.getOrDefault(queue, 1.0);
    }

    /** Returns the longest chain of work of a job, in ms on an ordinary worker. */
    double chainMillis(JobRequest request) {
        List<JobStep> steps = request.steps();
        double[] chains = new double[steps.size()];
        double longest = 0;
        for (int step = 0; step < chains.length; step++) {
            double before = 0;
            for (int earlier : steps.get(step).after()) {
                before = Math.max(before, chains[earlier]);
            }
            chains[step] = before
                    + expectedMillis(request.queue().name(), steps.get(step).estimateMillis());
            longest = Math.max(longest, chains[step]);
        }
        return longest;
    }

    /** Takes the duration of a task that was done, already divided by the slowness of its worker. */
    void observe(String queue, int estimateMillis, double actualMillis) {
        double ratio = clamp(actualMillis / Math.max(1, estimateMillis));
        ratios.merge(queue, ratio, (old, newest) -> old + WEIGHT * (newest - old));
    }

    private static double clamp(double ratio) {
        return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    }
}
