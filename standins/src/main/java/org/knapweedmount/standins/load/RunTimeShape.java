package org.knapweedmount.standins.load;

import java.util.List;
import java.util.Random;

/** The shape of a distribution of run times, with its parameters in ms. */
enum RunTimeShape {
    /** Always the same time; parameter: the time. */
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
    /** Lognormal with a share of long tasks; parameters: median, sigma, share of long tasks, their time. */
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

    /** Returns the text form with the names of the parameters. */
    String syntax() {
        return syntax;
    }

    /** Draws a run time, in ms. */
    abstract double sampleMillis(Random random, List<Double> parameters);
}
