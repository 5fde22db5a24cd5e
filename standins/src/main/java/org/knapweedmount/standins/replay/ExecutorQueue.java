package org.knapweedmount.standins.replay;

import java.util.PriorityQueue;

/** Simulates a first-in, first-out queue in front of the slots of one executor. */
final class ExecutorQueue {
    private final PriorityQueue<Long> slotFreeMicros = new PriorityQueue<>();
    private final PriorityQueue<Long> endMicros = new PriorityQueue<>();

    ExecutorQueue(int slots) {
        for (int slot = 0; slot < slots; slot++) {
            slotFreeMicros.add(0L);
        }
    }

    /**
     * Adds a request to the queue.
     *
     * @param atMicros the time in µs at which the request reaches the executor; not before that of the previous request
     * @param runMicros the run time of the request, in µs
     * @return the end time of the request, in µs
     */
    long add(long atMicros, long runMicros) {
        long start = Math.max(atMicros, slotFreeMicros.remove());
        long end = start + runMicros;
        slotFreeMicros.add(end);
        endMicros.add(end);
        return end;
    }

    /**
     * Counts the requests that are waiting or running.
     *
     * @param atMicros the current time in µs; not before that of an earlier call
     * @return the number of requests that have not ended
     */
    int length(long atMicros) {
        while (!endMicros.isEmpty() && endMicros.peek() <= atMicros) {
            endMicros.remove();
        }
        return endMicros.size();
    }
}
