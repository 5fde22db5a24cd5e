package org.knapweedmount.core.fleet;

import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times; actions with equal times run in the order of insertion. */
final class Scheduler {
    private final PriorityQueue<Action> actions = new PriorityQueue<>();
    private long nowNanos = 1;
    private long order;

    private record Action(long atNanos, long order, Runnable body) implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    long nowNanos() {
        return nowNanos;
    }

    void at(long atNanos, Runnable body) {
        actions.add(new Action(Math.max(atNanos, nowNanos), order++, body));
    }

    void after(long delayNanos, Runnable body) {
        at(nowNanos + delayNanos, body);
    }

    void runUntil(long endNanos) {
        while (!actions.isEmpty() && actions.peek().atNanos <= endNanos) {
            Action action = actions.remove();
            nowNanos = action.atNanos;
            action.body.run();
        }
        nowNanos = endNanos;
    }
}
