package org.knapweedmount.standins.bench;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A clock that only scheduled actions advance. */
final class VirtualTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private long lastNumber;

    private record Event(long atNanos, long number, Runnable action) {}

    long nanos() {
        return nowNanos;
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    void after(double millis, Runnable action) {
        lastNumber++;
        events.add(new Event(nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1)), lastNumber, action));
    }

    void every(double millis, Runnable action) {
        after(millis, () -> {
            action.run();
            every(millis, action);
        });
    }

    void run(double millis) {
        long endNanos = nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.remove();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
