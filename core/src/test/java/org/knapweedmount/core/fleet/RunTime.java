package org.knapweedmount.core.fleet;

import java.util.Random;

/** A distribution of task run times. */
@FunctionalInterface
interface RunTime {
    /** Draws a run time, in ms. */
    double nextMillis(Random random);

    static RunTime exponential(double meanMillis) {
        return random -> -Math.log(1 - random.nextDouble()) * meanMillis;
    }

    /** Returns a lognormal distribution in which a fraction of the tasks has a fixed, longer run time instead. */
    static RunTime lognormal(double medianMillis, double sigma, double longShare, double longMillis) {
        return random -> {
            double millis = medianMillis * Math.exp(sigma * random.nextGaussian());
            return random.nextDouble() < longShare ? longMillis : millis;
        };
    }
}
