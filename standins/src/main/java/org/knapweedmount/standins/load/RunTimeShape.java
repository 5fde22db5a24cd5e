package org.knapweedmount.standins.load;

import java.util.List;
import java.util.Random;

/** The shape of a run time distribution; times among its parameters are in ms. */
enum RunTimeShape {
    /** Constant; parameter: the run time. */
    FIXED(1, "fixed(MILLIS)") {
        @Override
        double sampleMillis(Random random, List<Double> parameters) {
            return parameters.get(0);
        }
    },
    /** Exponential; parameter: the mean. */
    EXPONENTIAL(1, "exponential(MEAN-MILLIS)") {
        @Override
        double sampleMillis(Random random, List<Double> parameters) {
            return -parameters.get(0) * Math.log(1 - random.nextDouble());
        }
    },
    /** Lognormal with a share of long tasks; parameters: median, sigma, share and run time of long tasks. */
    LOGNORMAL(4, "lognormal(MEDIAN-MILLIS,SIGMA,LONG-SHARE,LONG-MILLIS)") {
        @Override
        double sampleMillis(Random random, List<Double> parameters) {
            double sample = parameters.get(0) * Math.exp(parameters.get(1) * random.nextGaussian());
            return random.nextDouble() < parameters.get(2) ? parameters.get(3) : sample;
        }
    };

    private final int parameterCount;
    private final String syntax;

    RunTimeShape(int parameterCount, String syntax) {
        this.parameterCount = parameterCount;
        this.syntax = syntax;
    }

    /** Returns the number of parameters. */
    int parameterCount() {
        return parameterCount;
    }

    /** Returns the text form of the distribution, with the names of the parameters. */
    String syntax() {
        return syntax;
    }

    /** Draws a run time, in ms. */
    abstract double sampleMillis(Random random, List<Double> parameters);
}
