package org.knapweedmount.core.work;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A simulated clock that runs scheduled actions in order; only the actions advance the time. */
final class VirtualTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private long sequence;

    private record Event(long atNanos, long sequence, Runnable action) {}

    long nowNanos() {
        return nowNanos;
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    void after(double millis, Runnable action) {
        sequence++;
        events.add(new Event(nowNanos + (long) (millis * 1_000_000), sequence, action));
    }

    void every(double millis, Runnable action) {
        after(millis, () -> {
            action.run();
            every(millis, action);
        });
    }

    void run(double millis) {
        long endNanos = nowNanos + (long) (millis * 1_000_000);
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
