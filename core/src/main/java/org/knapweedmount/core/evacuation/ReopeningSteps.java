package org.knapweedmount.core.evacuation;

import java.util.concurrent.TimeUnit;

/**
 * Decides how much of the capacity of a reopened data centre is admitted.
 *
 * <p>Load pattern: all other data centres are full when one is reopened, and its workers are cold. If all queued work went
 * there at once, it would run slowly and miss its targets.
 */
public final class ReopeningSteps {
    /** The admitted capacity of a data centre that is open, in percent. */
    public static final int ALL_PERCENT = 100;

    /** The capacity that is admitted at once, in percent. */
    static final int FIRST_STEP_PERCENT = 25;

    /** The time after which all capacity is admitted, in ms. */
    static final int FIRST_STEP_MILLIS = 2_000;

    private ReopeningSteps() {}

    /**
     * Returns the admitted capacity of a data centre that was reopened.
     *
     * @param reopenedNanos when its reopening became known, in ns
     * @param nowNanos the current time, in ns
     * @return the admitted capacity, in percent of the whole
     */
    public static int admittedPercent(long reopenedNanos, long nowNanos) {
        boolean firstStep = nowNanos - reopenedNanos < TimeUnit.MILLISECONDS.toNanos(FIRST_STEP_MILLIS);
        return firstStep ? FIRST_STEP_PERCENT : ALL_PERCENT;
    }
}
