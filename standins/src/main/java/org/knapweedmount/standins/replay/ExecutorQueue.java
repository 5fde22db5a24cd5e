package org.knapweedmount.standins.replay;

import java.util.PriorityQueue;

/** A first-in first-out queue in front of the slots of one executor. */
final class ExecutorQueue {
    private final PriorityQueue<Long> slotFreeAt = new PriorityQueue<>();
    private final PriorityQueue<Long> endTimes = new PriorityQueue<>();

    ExecutorQueue(int slots) {
        for (int slot = 0; slot < slots; slot++) {
            slotFreeAt.add(0L);
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
        long start = Math.max(atMicros, slotFreeAt.remove());
        long end = start + runMicros;
        slotFreeAt.add(end);
        endTimes.add(end);
        return end;
    }

    /**
     * Counts the requests that wait or run.
     *
     * @param atMicros the present time; not before that of an earlier call
     * @return the number of requests that have not ended
     */
    int length(long atMicros) {
        while (!endTimes.isEmpty() && endTimes.peek() <= atMicros) {
            endTimes.remove();
        }
        return endTimes.size();
    }
}
