package org.knapweedmount.core.entry;

/**
 * The rate at which tasks leave a queue while tasks wait in it.
 *
 * <p>Time without waiting tasks is left out, because few tasks leave a queue that few enter. Observations fade with
 * their age, and as long as there are too few of them the rate expected from the known slots fills in.
 */
final class DepartureRate {
    private static final double FADING_SECONDS = 4;
    private static final double SUFFICIENT_SECONDS = 0.25;
    private static final double NANOS_PER_SECOND = 1e9;

    private double departures;
    private double busySeconds;
    private long updatedNanos;

    DepartureRate(long nowNanos) {
        this.updatedNanos = nowNanos;
    }

    /**
     * Takes account of the time since the last call.
     *
     * @param nowNanos the present time
     * @param busy whether tasks waited all this time
     */
    void advance(long nowNanos, boolean busy) {
        double seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        updatedNanos = nowNanos;
        double kept = Math.exp(-seconds / FADING_SECONDS);
        departures *= kept;
        busySeconds *= kept;
        if (busy) {
            busySeconds += (1 - kept) * FADING_SECONDS;
        }
    }

    /** Counts a task that has waited and leaves now; the time is advanced before. */
    void departed() {
        departures++;
    }

    /**
     * Returns the rate.
     *
     * @param expected the rate to assume without observations, in tasks a second
     * @return the rate, in tasks a second
     */
    double perSecond(double expected) {
        double missing = Math.max(0, SUFFICIENT_SECONDS - busySeconds);
        return (departures + expected * missing) / (busySeconds + missing);
    }
}
