package org.knapweedmount.standins.load;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import io.vertx.core.Context;

/** Passes each request of a plan to the event loop at the time at which it must be sent. */
final class ArrivalThread extends Thread {
    private final ArrivalPlan plan;
    private final LoadRunner runner;
    private final Context context;
    private final Consumer<LoadRunner> onEnd;

    ArrivalThread(ArrivalPlan plan, LoadRunner runner, Context context, Consumer<LoadRunner> onEnd) {
        super("arrivals");
        this.plan = plan;
        this.runner = runner;
        this.context = context;
        this.onEnd = onEnd;
    }

    @Override
    public void run() {
        long startNanos = System.nanoTime();
        for (Optional<PlannedRequest> next = plan.next(); next.isPresent(); next = plan.next()) {
            PlannedRequest request = next.get();
            long sendNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(request.arrivalMicros());
            awaitSendTime(sendNanos);
            if (runner.admit(request)) {
                context.runOnContext(ignored -> runner.submit(request, sendNanos));
            }
        }
        context.runOnContext(ignored -> onEnd.accept(runner));
    }

    private static void awaitSendTime(long sendNanos) {
        long leftNanos = sendNanos - System.nanoTime();
        while (leftNanos > 0) {
            LockSupport.parkNanos(leftNanos);
            leftNanos = sendNanos - System.nanoTime();
        }
    }
}
