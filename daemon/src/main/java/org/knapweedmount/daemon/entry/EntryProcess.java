package org.knapweedmount.daemon.entry;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import org.knapweedmount.daemon.runtime.IdleWait;
import org.knapweedmount.daemon.runtime.ProcessEvent;
import org.knapweedmount.daemon.runtime.ProcessState;
import org.knapweedmount.daemon.runtime.RunningProcess;
import org.tinylog.Logger;

/** An entry that serves. */
public final class EntryProcess implements RunningProcess {
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
        long startNanos = parts.clock().nanos();
        close("the intake of requests", parts.drain().begin());
        long usedMillis = TimeUnit.NANOSECONDS.toMillis(parts.clock().nanos() - startNanos);
        int leftMillis = (int) Math.max(0, parts.settings().drainMillis() - usedMillis);
        boolean idle = IdleWait.await(parts.loop(), this::isIdle, parts.clock(), leftMillis);
        if (!idle) {
            Logger.warn("stopping with {} requests unanswered", parts.pending().size());
        }
        parts.life().step(idle ? ProcessEvent.WORK_ENDED : ProcessEvent.TIME_LIMIT_REACHED);
        close("the entry's row", parts.withdraw());
        close("the HTTP ports", parts.ports().close());
        parts.store().tickets().stop();
        parts.ticker().close();
        close("the links", parts.linkTable().close());
        parts.loop().close();
        close("the event loops", parts.vertx().close());
        parts.life().step(ProcessEvent.CLOSED);
    }

    private boolean isIdle(EntryModule module) {
        return parts.life().state() == ProcessState.FINISHING
                && module.core().idle()
                && parts.pending().size() == 0;
    }

    private static void close(String what, Future<Void> closed) throws InterruptedException {
        try {
            closed.toCompletionStage().toCompletableFuture().get(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn(e, "{} could not be closed", what);
        }
    }
}
