package org.knapweedmount.standins.soak;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * The clocks of the workers on one VM: the VM's time of day, which is sometimes set forward or back, and the values at
 * which the workers' own clocks begin. Neither of them shows which of two workers started first.
 *
 * <p>Confined to one event loop.
 */
final class VmClock {
    /** The most that the time of day differs from true time, in ms. */
    static final int MAX_OFFSET_MILLIS = 5_000;

    /** The bound of the values at which the clock of a worker begins, in ms. */
    static final int MAX_FIRST_CLOCK_MILLIS = 10_000_000;

    /** The bound for some of them, as of a VM that has just started, in ms. */
    private static final int MAX_LOW_FIRST_CLOCK_MILLIS = 10_000;

    private static final double CHANGE_SHARE = 0.3;
    private static final double LOW_SHARE = 0.25;

    private final Random random;
    private final Set<Long> births = new HashSet<>();
    private int offsetMillis;

    /**
     * Creates the clocks of a VM whose time of day is true.
     *
     * @param random the source of all that is drawn, used for nothing else
     */
    VmClock(Random random) {
        this.random = random;
    }

    /**
     * Returns the time of day at which a worker starts, in ms since 1970. It may be before that of an earlier worker, but
     * is never the same, as nothing else tells two workers of one ID apart.
     *
     * @param trueMillis the true time, in ms since 1970
     */
    long birthMillis(long trueMillis) {
        if (random.nextDouble() < CHANGE_SHARE) {
            offsetMillis = random.nextInt(-MAX_OFFSET_MILLIS, MAX_OFFSET_MILLIS + 1);
        }
        long millis = trueMillis + offsetMillis;
        while (!births.add(millis)) {
            millis++;
        }
        return millis;
    }

    /** Returns the value at which the clock of a worker begins, in ms. */
    long firstClockMillis() {
        boolean low = random.nextDouble() < LOW_SHARE;
        return random.nextInt(low ? MAX_LOW_FIRST_CLOCK_MILLIS : MAX_FIRST_CLOCK_MILLIS);
    }
}
