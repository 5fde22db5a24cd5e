package org.knapweedmount.daemon.runtime;

import java.util.function.BooleanSupplier;

/** Waits in tests for what another thread does. */
public final class Polling {
    private Polling() {}

    /**
     * Waits until a condition holds; fails if the test's time limit interrupts the thread.
     *
     * @param condition the condition
     */
    public static void until(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (Thread.interrupted()) {
                throw new AssertionError("the condition did not hold within the time limit of the test");
            }
            Thread.onSpinWait();
        }
    }
}
