package org.knapweedmount.core.cost;

/**
 * Estimates the lasting ratio of run times on one worker to those on the median worker of its service.
 *
 * <p>Load pattern: workers are built differently, so that run times differ by a factor of 2.4 between healthy ones, while
 * the measured ratios of workers that are all alike vary by a tenth from one second to the next. The estimate therefore
 * follows over seconds, and counts only once it differs from 1 by more than that variation. It is kept while the worker
 * has no runs.
 */
public final class WorkerSpeed {
    /** The share of a new ratio in the estimate; with a ratio each 100 ms, those of the last 5 s dominate. */
    private static final double SMOOTHING_FACTOR = 0.02;

    /** The number of ratios before the estimate counts, which are those of 3 s. */
    private static final int MIN_SAMPLES = 30;

    /** The distance to 1 from which the estimate counts; smoothed ratios of workers that are alike vary by a third of it. */
    private static final double MIN_LOG_RATIO = Math.log(1.2);

    /** The distance to 1 below which an estimate that has counted does so no more, so that it does not alternate. */
    private static final double KEPT_LOG_RATIO = Math.log(1.1);

    /** The bounds of the lasting ratio; a worker that is slower than this is so for seconds and not by its build. */
    private static final double MIN_RATIO = 0.25;

    private static final double MAX_RATIO = 1.6;

    private double logRatio;
    private int samples;
    private boolean counts;

    /**
     * Records a measured ratio.
     *
     * @param ratio the ratio of run times on the worker to those on the median worker, above 0
     */
    void observe(double ratio) {
        samples = Math.min(Integer.MAX_VALUE - 1, samples) + 1;
        double bounded = Math.log(Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio)));
        logRatio += Math.max(SMOOTHING_FACTOR, 1.0 / samples) * (bounded - logRatio);
    }

    /** Subtracts what the estimates of all workers of the service have in common, as a logarithm. */
    void recentre(double logMedian) {
        logRatio -= logMedian;
        double distance = Math.abs(logRatio);
        counts = samples >= MIN_SAMPLES && distance >= (counts ? KEPT_LOG_RATIO : MIN_LOG_RATIO);
    }

    /** Returns whether any ratio was recorded. */
    boolean isMeasured() {
        return samples > 0;
    }

    /** Returns the logarithm of the estimated ratio. */
    double logRatio() {
        return logRatio;
    }

    /**
     * Returns the estimate.
     *
     * @return the ratio of run times to those on the median worker; 1 as long as the worker is not known to differ
     */
    public double ratio() {
        return counts ? Math.exp(logRatio) : 1;
    }
}
