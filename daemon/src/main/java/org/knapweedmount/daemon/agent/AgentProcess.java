package org.knapweedmount.daemon.agent;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import org.knapweedmount.daemon.runtime.IdleWait;
import org.knapweedmount.daemon.runtime.ProcessEvent;
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.ProcessState;
import org.knapweedmount.daemon.runtime.RunningProcess;
import org.tinylog.Logger;

/** A running agent. */
public final class AgentProcess implements RunningProcess {
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final AgentComponents components;
    private final AtomicBoolean stopping = new AtomicBoolean();

    AgentProcess(AgentComponents components) {
        this.components = components;
    }

    /**
     * Returns the TCP port of the interface for endpoints.
     *
     * @return the port
     */
    public int httpPort() {
        return components.server().actualPort();
    }

    @Override
    public void stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        ProcessLifecycle lifecycle = components.lifecycle();
        lifecycle.handle(ProcessEvent.STOP_REQUESTED);
        components.retryingQueue().add((module, nowNanos) -> {
            module.core().drain(nowNanos);
            lifecycle.handle(ProcessEvent.INTAKE_CLOSED);
        });
        boolean idle = IdleWait.await(
                components.loop(),
                module -> isIdle(module, lifecycle),
                components.clock(),
                components.settings().drainMillis());
        if (!idle) {
            Logger.warn(
                    "drain time limit reached; stopping with {} tasks running",
                    components.endpoints().runningTasks());
        }
        lifecycle.handle(idle ? ProcessEvent.WORK_ENDED : ProcessEvent.TIME_LIMIT_REACHED);
        components.finder().stop();
        components.ticker().close();
        close("the links", components.links().close());
        close("the HTTP port", components.server().close());
        components.loop().close();
        close("the event loop", components.vertx().close());
        lifecycle.handle(ProcessEvent.CLOSED);
    }

    /** Returns whether no task is left; new work may arrive until the intake is closed. */
    private static boolean isIdle(AgentModule module, ProcessLifecycle lifecycle) {
        return lifecycle.state() == ProcessState.FINISHING && module.core().idle();
    }

    private static void close(String what, Future<Void> closed) throws InterruptedException {
        try {
            closed.toCompletionStage().toCompletableFuture().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Logger.warn(e, "{} could not be closed", what);
        }
    }
}
