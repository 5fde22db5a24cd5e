package org.knapweedmount.daemon.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a stopping entry leaves.
 *
 * <p>Load pattern: all entries are stopped one shortly after another. The balancer then uses stopping ones, because there
 * are no others, so an entry that leaves at the first moment without a request takes service away. One whose callers have
 * gone elsewhere reads no more requests.
 */
final class LeaveRule {
    /** The number of negative answers in a row that tell the balancer to send no more connections. */
    private static final int NEGATIVE_PROBES = 2;

    /** How long the balancer may still send connections if it does not probe. */
    private static final long MAX_BALANCER_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** The time without a request after which callers have gone; a site has many requests in that time. */
    private static final long MIN_QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private LeaveRule() {}

    /**
     * Returns whether the entry may leave before its drain ends.
     *
     * @param negativeProbes the number of probes of the balancer that were answered negatively since the stop began
     * @param stoppingNanos the time since the stop began, in ns
     * @param owesNothing whether no caller waits for an answer
     * @param quietNanos the time since a request was read, in ns
     */
    static boolean mayLeave(int negativeProbes, long stoppingNanos, boolean owesNothing, long quietNanos) {
        boolean balancerTold = negativeProbes >= NEGATIVE_PROBES || stoppingNanos > MAX_BALANCER_GRACE_NANOS;
        return balancerTold && owesNothing && quietNanos >= MIN_QUIET_NANOS;
    }
}
