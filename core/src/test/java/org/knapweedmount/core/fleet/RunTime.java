package org.knapweedmount.core.fleet;

import java.util.Random;

/** Draws run times of tasks. */
@FunctionalInterface
interface RunTime {
    /** Draws one, in ms. */
    double nextMillis(Random random);

    static RunTime exponential(double meanMillis) {
        return random -> -Math.log(1 - random.nextDouble()) * meanMillis;
    }

    /** Returns a lognormal distribution, of which a share takes a fixed long time instead. */
    static RunTime lognormal(double medianMillis, double sigma, double longShare, double longMillis) {
        return random -> {
            double millis = medianMillis * Math.exp(sigma * random.nextGaussian());
            return random.nextDouble() < longShare ? longMillis : millis;
        };
    }
}
