package org.knapweedmount.daemon.runtime;

/**
 * A monotonic clock, read only at the edge of the process; decisions take its time as an argument.
 *
 * <p>Its zero has no meaning, and it is never compared with that of another process.
 */
@FunctionalInterface
public interface NanoClock {
    /** The clock of the machine, which no change of the date or time of day moves. */
    NanoClock SYSTEM = System::nanoTime;

    /**
     * Reads the clock.
     *
     * @return the present time, in ns
     */
    long nanos();
}
