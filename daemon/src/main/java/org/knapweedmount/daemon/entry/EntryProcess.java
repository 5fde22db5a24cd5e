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

/** A running entry. */
public final class EntryProcess implements RunningProcess {
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final EntryComponents components;
    private final AtomicBoolean stopping = new AtomicBoolean();

    EntryProcess(EntryComponents components) {
        this.components = components;
    }

    /**
     * Returns the TCP port of the interface for callers.
     *
     * @return the port
     */
    public int callerPort() {
        return components.httpApis().callerPort();
    }

    /**
     * Returns the TCP port of the interface for operators.
     *
     * @return the port
     */
    public int operatorPort() {
        return components.httpApis().operatorPort();
    }

    /**
     * Returns the TCP port to which other processes connect their links.
     *
     * @return the port
     */
    public int linkPort() {
        return components.self().port();
    }

    @Override
    public void stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        long startNanos = components.clock().nanos();
        close("the intake of requests", components.drain().begin());
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(components.clock().nanos() - startNanos);
        int remainingMillis = (int) Math.max(0, components.settings().drainMillis() - elapsedMillis);
        boolean idle = IdleWait.await(components.loop(), this::isIdle, components.clock(), remainingMillis);
        if (!idle) {
            Logger.warn(
                    "drain time limit reached; stopping with {} requests unanswered",
                    components.pending().size());
        }
        components.lifecycle().handle(idle ? ProcessEvent.WORK_ENDED : ProcessEvent.TIME_LIMIT_REACHED);
        close("the entry's row", components.withdraw());
        close("the HTTP ports", components.httpApis().close());
        components.store().tickets().stop();
        components.ticker().close();
        close("the links", components.linkTable().close());
        components.loop().close();
        close("the event loops", components.vertx().close());
        components.lifecycle().handle(ProcessEvent.CLOSED);
    }

    private boolean isIdle(EntryModule module) {
        return components.lifecycle().state() == ProcessState.FINISHING
                && module.core().idle()
                && components.pending().size() == 0;
    }

    private static void close(String what, Future<Void> closed) throws InterruptedException {
        try {
            closed.toCompletionStage().toCompletableFuture().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn(e, "{} could not be closed", what);
        }
    }
}
