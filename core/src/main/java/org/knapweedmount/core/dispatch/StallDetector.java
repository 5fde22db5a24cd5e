package org.knapweedmount.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Detects that this entry stood still for so long that its peers have closed their links to it and its leases have
 * ended.
 */
final class StallDetector {
    private OptionalLong lastActiveNanos = OptionalLong.empty();

    /**
     * A time for which the entry stood still.
     *
     * @param missedNanos the time without a tick by the entry's clock, in ns
     */
    record Stall(long missedNanos) {
        /** Returns the times in ms for the log. */
        String description() {
            return "missed=" + TimeUnit.NANOSECONDS.toMillis(missedNanos);
        }
    }

    /** Checks for a stall before an event is handled. */
    Optional<Stall> eventReceived(long nowNanos) {
        return check(nowNanos);
    }

    /** Checks for a stall before a tick is handled, and counts the time without a tick from now on. */
    Optional<Stall> ticked(long nowNanos) {
        Optional<Stall> stall = check(nowNanos);
        lastActiveNanos = OptionalLong.of(nowNanos);
        return stall;
    }

    private Optional<Stall> check(long nowNanos) {
        long missedNanos = nowNanos - lastActiveNanos.orElse(nowNanos);
        if (missedNanos <= DispatchTimings.LINK_TIMEOUT_NANOS) {
            return Optional.empty();
        }
        lastActiveNanos = OptionalLong.of(nowNanos);
        return Optional.of(new Stall(missedNanos));
    }
}
