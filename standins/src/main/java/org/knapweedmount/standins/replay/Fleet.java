package org.knapweedmount.standins.replay;

/**
 * The executors that a policy places requests on.
 *
 * @param executors the number of executors
 * @param slots the slots of each
 * @param oneWayMicros the delay of one message between an entry and an executor, in microseconds
 */
public record Fleet(int executors, int slots, long oneWayMicros) {
    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if there is no slot or the delay is negative
     */
    public Fleet {
        if (executors < 1 || slots < 1 || oneWayMicros < 0) {
            throw new IllegalArgumentException("executors and slots are at least 1, the delay at least 0");
        }
    }
}
