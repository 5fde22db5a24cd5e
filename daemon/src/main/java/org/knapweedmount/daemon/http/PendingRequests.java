package org.knapweedmount.daemon.http;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.core.metric.Counters;

/**
 * The requests that wait for an answer, by request number.
 *
 * <p>Each number is used once, so that an answer never reaches another caller. Thread-safe.
 */
public final class PendingRequests {
    private final Map<Long, PendingResponse> responses = new ConcurrentHashMap<>();
    private final AtomicLong lastNumber = new AtomicLong();
    private final AtomicInteger size = new AtomicInteger();
    private final int maxPending;
    private final Counters<HttpCounter> counters;

    /**
     * Creates an empty table.
     *
     * @param maxPending the maximum number of requests that wait at the same time
     * @param counters counts the answers whose caller has disconnected
     */
    public PendingRequests(int maxPending, Counters<HttpCounter> counters) {
        this.maxPending = maxPending;
        this.counters = counters;
    }

    /**
     * Adds a request.
     *
     * @param response receives the answer
     * @return the request number, empty if the limit is reached
     */
    public OptionalLong add(PendingResponse response) {
        if (size.incrementAndGet() > maxPending) {
            size.decrementAndGet();
            return OptionalLong.empty();
        }
        long number = lastNumber.incrementAndGet();
        responses.put(number, response);
        return OptionalLong.of(number);
    }

    /**
     * Answers a request; only counted if the request is no longer pending.
     *
     * @param number the request number
     * @param answer the answer
     */
    public void answer(long number, JobAnswer answer) {
        PendingResponse response = responses.remove(number);
        if (response == null) {
            counters.increment(HttpCounter.ABANDONED);
            return;
        }
        size.decrementAndGet();
        response.answer(answer);
    }

    /**
     * Removes a request whose caller has disconnected or was answered otherwise.
     *
     * @param number the request number
     */
    public void remove(long number) {
        if (responses.remove(number) != null) {
            size.decrementAndGet();
        }
    }

    /**
     * Returns the number of pending requests.
     *
     * @return the number of requests that wait for an answer
     */
    public int size() {
        return size.get();
    }
}
