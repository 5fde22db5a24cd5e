package org.knapweedmount.core.cost;

import java.util.Arrays;
import java.util.List;

/**
 * Estimates the lasting speeds of the workers of a service from the slowdowns that their agents report.
 *
 * <p>A reported slowdown is the product of the error of the expected run times, which all workers share, and the slowness
 * of the worker. The shared part is taken as the median of what the present estimates leave unexplained, over the workers
 * that have runs; so the estimates stay where they are when only the fast workers have runs. The estimates are centred on
 * their median, so that {@code DurationModel}, which divides run times by them, cannot drift together with them.
 */
public final class ServiceSpeeds {
    /** The number of workers with runs below which nothing is compared. */
    private static final int MIN_WORKERS = 3;

    private ServiceSpeeds() {}

    /**
     * What an agent reports of a worker that has runs.
     *
     * @param speed the estimate for the worker
     * @param slowdown the ratio of actual to expected run times, above 0
     */
    public record Reported(WorkerSpeed speed, double slowdown) {}

    /**
     * Updates the estimates; call this at a fixed rate.
     *
     * @param reported the workers of the service that have runs
     * @param all the estimates of all workers of the service, which are centred
     */
    public static void update(List<Reported> reported, List<WorkerSpeed> all) {
        if (reported.size() < MIN_WORKERS) {
            return;
        }
        double shared = median(reported.stream()
                .mapToDouble(
                        worker -> Math.log(worker.slowdown()) - worker.speed().logRatio())
                .toArray());
        reported.forEach(worker -> worker.speed().observe(worker.slowdown() / Math.exp(shared)));
        double centre = median(all.stream()
                .filter(WorkerSpeed::isMeasured)
                .mapToDouble(WorkerSpeed::logRatio)
                .toArray());
        all.stream().filter(WorkerSpeed::isMeasured).forEach(speed -> speed.recentre(centre));
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }
}
