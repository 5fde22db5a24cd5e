package org.knapweedmount.daemon.http;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.core.metric.Counters;

/**
 * The callers who wait for an answer, by the numbers of their requests.
 *
 * <p>Each number is used once, so that an answer never reaches another caller. Any thread may use it.
 */
public final class PendingRequests {
    private final Map<Long, PendingResponse> waiting = new ConcurrentHashMap<>();
    private final AtomicLong lastNumber = new AtomicLong();
    private final AtomicInteger size = new AtomicInteger();
    private final int maxPending;
    private final Counters<HttpCounter> counters;

    /**
     * Creates an empty table.
     *
     * @param maxPending the number of requests that may wait at a time
     * @param counters counts the answers whose caller has gone
     */
    public PendingRequests(int maxPending, Counters<HttpCounter> counters) {
        this.maxPending = maxPending;
        this.counters = counters;
    }

    /**
     * Adds a caller.
     *
     * @param response the caller
     * @return the number of the request, empty if too many wait already
     */
    public OptionalLong add(PendingResponse response) {
        if (size.incrementAndGet() > maxPending) {
            size.decrementAndGet();
            return OptionalLong.empty();
        }
        long number = lastNumber.incrementAndGet();
        waiting.put(number, response);
        return OptionalLong.of(number);
    }

    /**
     * Answers a request; without effect if the caller has gone.
     *
     * @param number the number of the request
     * @param answer the answer
     */
    public void answer(long number, JobAnswer answer) {
        PendingResponse response = waiting.remove(number);
        if (response == null) {
            counters.increment(HttpCounter.ABANDONED);
            return;
        }
        size.decrementAndGet();
        response.answer(answer);
    }

    /**
     * Removes a caller who has gone or was answered otherwise.
     *
     * @param number the number of the request
     */
    public void remove(long number) {
        if (waiting.remove(number) != null) {
            size.decrementAndGet();
        }
    }

    /**
     * Counts the callers who wait.
     *
     * @return the number of requests without an answer
     */
    public int size() {
        return size.get();
    }
}
