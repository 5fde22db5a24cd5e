package org.knapweedmount.standins.replay;

/**
 * The executors on which a policy places requests.
 *
 * @param executors the number of executors
 * @param slots the number of slots of each executor
 * @param oneWayMicros the one-way delay of a message between an entry and an executor, in µs
 */
public record Fleet(int executors, int slots, long oneWayMicros) {
    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the number of executors or slots is below 1 or the delay is negative
     */
    public Fleet {
        if (executors < 1 || slots < 1 || oneWayMicros < 0) {
            throw new IllegalArgumentException("executors and slots must be at least 1, the delay at least 0");
        }
    }
}
