package org.knapweedmount.core.entry;

/** A token bucket that limits retries to a share of the requests, with a small burst. */
final class RetryBudget {
    private static final double MAX_TOKENS = 10;

    private final double tokensPerRequest;
    private double tokens = MAX_TOKENS;

    RetryBudget(double tokensPerRequest) {
        this.tokensPerRequest = tokensPerRequest;
        if (tokensPerRequest == 0) {
            tokens = 0;
        }
    }

    void addRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + tokensPerRequest);
    }

    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
