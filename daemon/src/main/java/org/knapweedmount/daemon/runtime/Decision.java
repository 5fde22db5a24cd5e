package org.knapweedmount.daemon.runtime;

/**
 * An event that the decision thread applies to the decision module.
 *
 * @param <T> the type of the decision module
 */
@FunctionalInterface
public interface Decision<T> {
    /**
     * Applies the event, on the decision thread.
     *
     * @param core the decision module
     * @param nowNanos the current time of a monotonic clock, in ns
     */
    void decide(T core, long nowNanos);
}
