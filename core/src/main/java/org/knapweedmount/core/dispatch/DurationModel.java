package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how long tasks run, from the declared run times and the measured ones.
 *
 * <p>Declared run times are often far off, but those of one queue are off in the same direction, so the ratio is
 * estimated per queue.
 */
final class DurationModel {
    private static final double SMOOTHING_FACTOR = 0.05; // the last few dozen runs dominate the estimate
    private static final double MIN_RATIO = 0.2;
    private static final double MAX_RATIO = 8;

    private final Map<String, Double> ratios = new HashMap<>();

    /** Returns the expected run time of a task of a queue on a worker of median speed, in ms. */
    double expectedMillis(String queue, int estimateMillis) {
        return Math.max(1, estimateMillis) * ratios.getOrDefault(queue, 1.0);
    }

    /** Returns the length of a job's critical path on a worker of median speed, in ms. */
    double criticalPathMillis(JobRequest request) {
        List<JobStep> steps = request.steps();
        double[] pathMillis = new double[steps.size()];
        double longest = 0;
        for (int step = 0; step < pathMillis.length; step++) {
            double longestBefore = 0;
            for (int earlier : steps.get(step).after()) {
                longestBefore = Math.max(longestBefore, pathMillis[earlier]);
            }
            pathMillis[step] = longestBefore
                    + expectedMillis(request.queue().name(), steps.get(step).estimateMillis());
            longest = Math.max(longest, pathMillis[step]);
        }
        return longest;
    }

    /** Records the duration of a completed task, already divided by the slowdown of its worker. */
    void observe(String queue, int estimateMillis, double actualMillis) {
        double ratio = clamp(actualMillis / Math.max(1, estimateMillis));
        ratios.merge(queue, ratio, (old, newest) -> old + SMOOTHING_FACTOR * (newest - old));
    }

    private static double clamp(double ratio) {
        return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    }
}
