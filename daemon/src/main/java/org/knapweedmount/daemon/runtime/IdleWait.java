package org.knapweedmount.daemon.runtime;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;

/** Waits during a planned stop until the work in flight has ended. */
public final class IdleWait {
    private static final int CHECK_INTERVAL_MILLIS = 20;

    private IdleWait() {}

    /**
     * Polls the decision module until it is idle or the time limit is reached.
     *
     * @param queue the queue of the decision thread
     * @param idle returns whether no work is left; called on the decision thread
     * @param clock the clock of the time limit
     * @param limitMillis the time limit, in ms
     * @param <T> the type of the decision module
     * @return false if work was left at the time limit
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static <T> boolean await(DecisionQueue<T> queue, Predicate<T> idle, NanoClock clock, int limitMillis)
            throws InterruptedException {
        long startNanos = clock.nanos();
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(limitMillis);
        for (long leftNanos = limitNanos; !isIdle(queue, idle, leftNanos); ) {
            leftNanos = limitNanos - (clock.nanos() - startNanos);
            if (leftNanos <= 0) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
        }
        return true;
    }

    private static <T> boolean isIdle(DecisionQueue<T> queue, Predicate<T> idle, long timeoutNanos)
            throws InterruptedException {
        AtomicBoolean result = new AtomicBoolean();
        CountDownLatch answered = new CountDownLatch(1);
        boolean offered = queue.offer((core, nowNanos) -> {
            result.set(idle.test(core));
            answered.countDown();
        });
        return offered && answered.await(timeoutNanos, TimeUnit.NANOSECONDS) && result.get();
    }
}
