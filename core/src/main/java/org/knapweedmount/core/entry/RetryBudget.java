package org.knapweedmount.core.entry;

/** Bounds retries to a share of the requests, with a small reserve for a sudden need. */
final class RetryBudget {
    private static final double MAX_SAVED_RETRIES = 10;

    private final double share;
    private double available = MAX_SAVED_RETRIES;

    RetryBudget(double share) {
        this.share = share;
        if (share == 0) {
            available = 0;
        }
    }

    void request() {
        available = Math.min(MAX_SAVED_RETRIES, available + share);
    }

    boolean tryRetry() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
