package org.knapweedmount.core.cost;

/**
 * Compares workers for a run by what the run costs there: its own duration, and what other runs lose by its taking a fast
 * worker.
 *
 * <p>Load pattern: a third of the workers are 2.4 times as fast as the others, and short tasks that meet their target
 * anywhere arrive together with long ones that meet it only there. A worker that saves a run of mean length some
 * milliseconds has that price for each run, in proportion to how full it is: an empty one has no price, so that runs end
 * as early as possible, and on a nearly full one only runs that gain more than the mean are worth their place.
 */
public final class PlacementScore {
    /** The fraction of a worker's cores in use up to which a run there takes nothing away from others. */
    private static final double FREE_OF_CHARGE_FRACTION = 0.5;

    /**
     * The steps in which costs are compared, as a fraction of the run's expected duration; predictions are no more exact,
     * and among equal workers the one with the most free capacity is taken.
     */
    private static final double STEP = 0.15;

    private PlacementScore() {}

    /**
     * Returns the cost of a run on a worker in steps; lower is better.
     *
     * @param expectedMillis the expected duration of the run on a worker of median speed, in ms, above 0
     * @param durationMillis the predicted duration on the worker, in ms
     * @param slowdown the ratio of run times on the worker to those on the median worker
     * @param usedFraction the fraction of the worker's cores in use, from 0 to 1
     * @param meanMillis the mean expected duration of the runs of the service, in ms
     * @return the cost, in steps of a fraction of the expected duration
     */
    public static int steps(
            double expectedMillis, double durationMillis, double slowdown, double usedFraction, double meanMillis) {
        double fullness = Math.max(0, (usedFraction - FREE_OF_CHARGE_FRACTION) / (1 - FREE_OF_CHARGE_FRACTION));
        double priceMillis = slowdown < 1 ? fullness * meanMillis * (1 - slowdown) : 0;
        return (int) Math.round((durationMillis + priceMillis) / (STEP * expectedMillis));
    }
}
