package org.knapweedmount.core.worker;

import java.util.concurrent.TimeUnit;

/**
 * When the process of an agent started. By then the process of its predecessor had ended.
 *
 * @param nanos the time by the monotonic clock of the process, in ns
 * @param epochMillis the time of day on its VM, in ms since 1970
 */
public record ProcessStart(long nanos, long epochMillis) {
    /**
     * Returns a time that rises from one process on a VM to the next unless the time of day is set back between their
     * starts, and that never falls within a process.
     *
     * @param nowNanos the current time, in ns
     * @return the time, in ms
     */
    long millisAt(long nowNanos) {
        return epochMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos);
    }
}
