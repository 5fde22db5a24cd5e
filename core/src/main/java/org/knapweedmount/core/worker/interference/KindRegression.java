package org.knapweedmount.core.worker.interference;

/**
 * A linear regression of the logarithm of run times on what was beside the runs, with exponential forgetting.
 *
 * <p>The first term is constant: it takes up the error of the expected run time and the speed of the worker. The sums are kept,
 * and a constant ridge is added when they are solved, so that a term without variation, for example a kind that is always
 * present, has a wide error instead of a large value.
 */
final class KindRegression {
    /** The weight of the earlier observations after a new one; the last thousand dominate. */
    private static final double MEMORY = 0.999;

    /** The time in which the weight of all observations halves, in s. */
    private static final double HALF_LIFE_SECONDS = 300;

    private static final double RIDGE = 0.5;

    /**
     * The ratio of the variance of an estimate to that of independent observations: the tasks of one job are off by the same
     * factor, and a few of them often run on one worker.
     */
    private static final double CORRELATION_FACTOR = 2;

    /** The least standard deviation of an observation; the clock counts in ms. */
    private static final double MIN_DEVIATION = 0.02;

    private final int terms;
    private final double[][] products;
    private final double[] responses;
    private final double[] estimates;
    private final double[] errors;
    private double squares;
    private double weight;
    private long lastNanos;

    KindRegression(int terms) {
        this.terms = terms;
        this.products = new double[terms][terms];
        this.responses = new double[terms];
        this.estimates = new double[terms];
        this.errors = new double[terms];
    }

    /** Records an observation; the first value has to be 1. */
    void observe(double[] values, double response, long nowNanos) {
        double seconds = weight > 0 ? Math.max(0, nowNanos - lastNanos) / 1e9 : 0;
        double kept = MEMORY * Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
        lastNanos = nowNanos;
        weight = kept * weight + 1;
        squares = kept * squares + response * response;
        for (int row = 0; row < terms; row++) {
            responses[row] = kept * responses[row] + values[row] * response;
            for (int column = 0; column < terms; column++) {
                products[row][column] = kept * products[row][column] + values[row] * values[column];
            }
        }
    }

    /** Forgets what was learnt of a term. */
    void forget(int term) {
        for (int other = 0; other < terms; other++) {
            products[term][other] = 0;
            products[other][term] = 0;
        }
        responses[term] = 0;
        estimates[term] = 0;
        errors[term] = 0;
    }

    /** Computes the estimates and their errors from the observations so far. */
    void solve() {
        double[][] inverse = inverse();
        double explained = 0;
        for (int row = 0; row < terms; row++) {
            double sum = 0;
            for (int column = 0; column < terms; column++) {
                sum += inverse[row][column] * responses[column];
            }
            estimates[row] = sum;
            explained += sum * responses[row];
        }
        double variance = Math.max(MIN_DEVIATION * MIN_DEVIATION, (squares - explained) / Math.max(1, weight - terms));
        for (int row = 0; row < terms; row++) {
            errors[row] = Math.sqrt(CORRELATION_FACTOR * variance * Math.max(0, inverse[row][row]));
        }
    }

    /** Returns the inverse of the positive definite matrix of products, by elimination. */
    private double[][] inverse() {
        double[][] left = new double[terms][terms];
        double[][] right = new double[terms][terms];
        for (int row = 0; row < terms; row++) {
            System.arraycopy(products[row], 0, left[row], 0, terms);
            left[row][row] += RIDGE;
            right[row][row] = 1;
        }
        for (int pivot = 0; pivot < terms; pivot++) {
            scale(left[pivot], right[pivot], 1 / left[pivot][pivot]);
            for (int row = 0; row < terms; row++) {
                if (row != pivot) {
                    double factor = left[row][pivot];
                    subtract(left[row], left[pivot], factor);
                    subtract(right[row], right[pivot], factor);
                }
            }
        }
        return right;
    }

    private void scale(double[] left, double[] right, double factor) {
        for (int column = 0; column < terms; column++) {
            left[column] *= factor;
            right[column] *= factor;
        }
    }

    private void subtract(double[] from, double[] row, double factor) {
        for (int column = 0; column < terms; column++) {
            from[column] -= factor * row[column];
        }
    }

    /** Returns the predicted logarithm for some values, by the last solution. */
    double predict(double[] values) {
        double sum = 0;
        for (int term = 0; term < terms; term++) {
            sum += estimates[term] * values[term];
        }
        return sum;
    }

    /** Returns the estimate of a term by the last solution. */
    double estimate(int term) {
        return estimates[term];
    }

    /** Returns the standard error of the estimate of a term by the last solution. */
    double error(int term) {
        return errors[term];
    }

    /** Returns the number of observations, less what is forgotten. */
    double weight() {
        return weight;
    }
}
