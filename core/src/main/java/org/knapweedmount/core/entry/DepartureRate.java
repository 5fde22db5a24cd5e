package org.knapweedmount.core.entry;

/**
 * The rate at which tasks leave a queue while tasks wait in it.
 *
 * <p>Time without waiting tasks is not counted, because few tasks leave a queue that few enter. Observations decay
 * exponentially; while they cover too little time, the rate expected from the known slots makes up for the rest.
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
     * Advances the observation to the current time.
     *
     * @param nowNanos the current time, in ns
     * @param busy true if tasks waited during the whole time since the last call
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

    /** Counts a task that leaves the queue after waiting in it; {@link #advance} is called before. */
    void taskDeparted() {
        departures++;
    }

    /**
     * Returns the departure rate.
     *
     * @param expectedPerSecond the rate to assume without observations, in tasks per second
     * @return the rate, in tasks per second
     */
    double perSecond(double expectedPerSecond) {
        double missingSeconds = Math.max(0, MIN_BUSY_SECONDS - busySeconds);
        return (departures + expectedPerSecond * missingSeconds) / (busySeconds + missingSeconds);
    }
}
