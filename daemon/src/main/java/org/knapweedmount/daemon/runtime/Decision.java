package org.knapweedmount.daemon.runtime;

/**
 * An event that the decision thread hands to the decision module.
 *
 * @param <T> the decision module
 */
@FunctionalInterface
public interface Decision<T> {
    /**
     * Runs on the decision thread.
     *
     * @param core the decision module
     * @param nowNanos the present time of a monotonic clock, in ns
     */
    void decide(T core, long nowNanos);
}
