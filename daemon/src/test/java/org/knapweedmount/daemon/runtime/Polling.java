package org.knapweedmount.daemon.runtime;

/** Waits in tests for the effects of other threads. */
public final class Polling {
    private Polling() {}

    /**
     * A condition that is polled.
     *
     * @param <E> the type of exception that the condition may throw
     */
    @FunctionalInterface
    public interface Condition<E extends Exception> {
        /**
         * Returns whether the condition holds.
         *
         * @return true if it holds
         * @throws E if the condition cannot be evaluated
         */
        boolean holds() throws E;
    }

    /**
     * Waits until a condition holds; fails if the time limit of the test interrupts the thread.
     *
     * @param condition the condition
     * @param <E> the type of exception that the condition may throw
     * @throws E if the condition throws it
     */
    public static <E extends Exception> void until(Condition<E> condition) throws E {
        while (!condition.holds()) {
            if (Thread.interrupted()) {
                throw new AssertionError("the condition did not hold within the time limit of the test");
            }
            Thread.onSpinWait();
        }
    }
}
