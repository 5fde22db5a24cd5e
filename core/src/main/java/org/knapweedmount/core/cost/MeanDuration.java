package org.knapweedmount.core.cost;

/** The mean expected duration of the runs of a service on a worker of median speed, weighted by their cores. */
public final class MeanDuration {
    private static final double SMOOTHING_FACTOR = 0.01; // the last few hundred runs, of all kinds, dominate the mean

    private double milliCores;
    private double coreMillis;

    /**
     * Records an ordered run.
     *
     * @param cores the cores that the run needs, in thousandths
     * @param expectedMillis its expected duration, in ms
     */
    public void add(int cores, double expectedMillis) {
        double share = milliCores > 0 ? SMOOTHING_FACTOR : 1;
        milliCores += share * (cores - milliCores);
        coreMillis += share * (cores * expectedMillis - coreMillis);
    }

    /**
     * Returns the mean duration.
     *
     * @return the mean, in ms; 0 before the first run
     */
    public double millis() {
        return milliCores > 0 ? coreMillis / milliCores : 0;
    }
}
