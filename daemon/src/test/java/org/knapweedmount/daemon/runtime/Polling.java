package org.knapweedmount.daemon.runtime;

/** Waits in tests for what another thread does. */
public final class Polling {
    private Polling() {}

    /**
     * What is waited for.
     *
     * @param <E> what the test of the condition may throw
     */
    @FunctionalInterface
    public interface Condition<E extends Exception> {
        /**
         * Tells whether the condition holds.
         *
         * @return true if it holds
         * @throws E if that cannot be told
         */
        boolean holds() throws E;
    }

    /**
     * Waits until a condition holds; fails if the test's time limit interrupts the thread.
     *
     * @param condition the condition
     * @param <E> what the test of the condition may throw
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
