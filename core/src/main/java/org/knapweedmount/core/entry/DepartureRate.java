package org.knapweedmount.core.entry;

/**
 * The rate at which tasks leave a queue while tasks wait in it.
 *
 * <p>Time without waiting tasks is left out, because few tasks leave a queue that few enter. Observations fade with
 * their age, and as long as there are too few of them the rate expected from the known slots fills in.
 */
final class DepartureRate {
    private static final double DECAY_SECONDS = 4;
    private static final double MIN_BUSY_SECONDS = 0.25;
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
        double decay = Math.exp(-seconds / DECAY_SECONDS);
        departures *= decay;
        busySeconds *= decay;
        if (busy) {
            busySeconds += (1 - decay) * DECAY_SECONDS;
        }
    }

    /** Counts a task that has waited and leaves now; the time is advanced before. */
    void taskDeparted() {
        departures++;
    }

    /**
     * Returns the rate.
     *
     * @param expectedPerSecond the rate to assume without observations, in tasks a second
     * @return the rate, in tasks a second
     */
    double perSecond(double expectedPerSecond) {
        double missingSeconds = Math.max(0, MIN_BUSY_SECONDS - busySeconds);
        return (departures + expectedPerSecond * missingSeconds) / (busySeconds + missingSeconds);
    }
}
