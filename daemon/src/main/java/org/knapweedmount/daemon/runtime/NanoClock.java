package org.knapweedmount.daemon.runtime;

/**
 * A monotonic clock; the decision module does not read it but takes the current time as an argument.
 *
 * <p>Its origin is arbitrary; readings of different processes must not be compared.
 */
@FunctionalInterface
public interface NanoClock {
    /** The monotonic clock of the system, which changes of the time of day do not affect. */
    NanoClock SYSTEM = System::nanoTime;

    /**
     * Reads the clock.
     *
     * @return the current time, in ns
     */
    long nanos();
}
