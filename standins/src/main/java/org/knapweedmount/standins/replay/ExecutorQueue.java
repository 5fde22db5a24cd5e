package org.knapweedmount.standins.replay;

import java.util.PriorityQueue;

/** A first-in first-out queue in front of the slots of one executor. */
final class ExecutorQueue {
    private final PriorityQueue<Long> slotFreeMicros = new PriorityQueue<>();
    private final PriorityQueue<Long> endMicros = new PriorityQueue<>();

    ExecutorQueue(int slots) {
        for (int slot = 0; slot < slots; slot++) {
            slotFreeMicros.add(0L);
        }
    }

    /**
     * Adds a request.
     *
     * @param atMicros when it reaches the executor; not before the request added last
     * @param runMicros how long it runs
     * @return when it ends
     */
    long add(long atMicros, long runMicros) {
        long start = Math.max(atMicros, slotFreeMicros.remove());
        long end = start + runMicros;
        slotFreeMicros.add(end);
        endMicros.add(end);
        return end;
    }

    /**
     * Counts the requests that wait or run.
     *
     * @param atMicros the present time; not before that of an earlier call
     * @return the number of requests that have not ended
     */
    int length(long atMicros) {
        while (!endMicros.isEmpty() && endMicros.peek() <= atMicros) {
            endMicros.remove();
        }
        return endMicros.size();
    }
}
