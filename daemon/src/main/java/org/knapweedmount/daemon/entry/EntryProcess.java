package org.knapweedmount.daemon.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import org.knapweedmount.daemon.runtime.RunningProcess;
import org.tinylog.Logger;

/** An entry that serves. */
public final class EntryProcess implements RunningProcess {
    private static final int IDLE_CHECK_MILLIS = 20;
    private static final long CLOSE_SECONDS = 5;

    private final EntryParts parts;
    private final AtomicBoolean stopping = new AtomicBoolean();

    EntryProcess(EntryParts parts) {
        this.parts = parts;
    }

    /**
     * Returns the port for callers.
     *
     * @return the TCP port
     */
    public int callerPort() {
        return parts.ports().callerPort();
    }

    /**
     * Returns the port for operators.
     *
     * @return the TCP port
     */
    public int operatorPort() {
        return parts.ports().operatorPort();
    }

    /**
     * Returns the port for links.
     *
     * @return the TCP port that other processes connect to
     */
    public int linkPort() {
        return parts.self().port();
    }

    @Override
    public void stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        parts.drain().begin();
        boolean idle = awaitIdle();
        if (!idle) {
            Logger.warn("stopping with {} requests unanswered", parts.pending().size());
        }
        close("the entry's row", parts.withdraw());
        close("the HTTP ports", parts.ports().close());
        parts.store().tickets().stop();
        parts.ticker().close();
        close("the links", parts.linkTable().close());
        parts.loop().close();
        close("the event loops", parts.vertx().close());
        Logger.info("stopped");
    }

    private boolean awaitIdle() throws InterruptedException {
        long deadlineNanos = parts.clock().nanos()
                + TimeUnit.MILLISECONDS.toNanos(parts.settings().drainMillis());
        while (parts.clock().nanos() - deadlineNanos < 0) {
            if (isIdle() && parts.pending().size() == 0) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(IDLE_CHECK_MILLIS);
        }
        return false;
    }

    private boolean isIdle() throws InterruptedException {
        AtomicBoolean idle = new AtomicBoolean();
        CountDownLatch answered = new CountDownLatch(1);
        boolean offered = parts.loop().offer((module, nowNanos) -> {
            idle.set(module.core().idle());
            answered.countDown();
        });
        return offered && answered.await(CLOSE_SECONDS, TimeUnit.SECONDS) && idle.get();
    }

    private static void close(String what, Future<Void> closed) throws InterruptedException {
        try {
            closed.toCompletionStage().toCompletableFuture().get(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn(e, "{} could not be closed", what);
        }
    }
}
