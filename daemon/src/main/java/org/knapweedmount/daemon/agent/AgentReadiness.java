package org.knapweedmount.daemon.agent;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.knapweedmount.daemon.http.ProcessHealth;
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.ProcessState;

/** Reports whether this agent can accept work. Thread-safe. */
final class AgentReadiness implements ProcessHealth {
    private final ProcessLifecycle lifecycle;
    private final LongSupplier linkCount;
    private final Supplier<String> metrics;

    AgentReadiness(ProcessLifecycle lifecycle, LongSupplier linkCount, Supplier<String> metrics) {
        this.lifecycle = lifecycle;
        this.linkCount = linkCount;
        this.metrics = metrics;
    }

    @Override
    public boolean draining() {
        return lifecycle.state().stopping();
    }

    @Override
    public String notReadyReason() {
        ProcessState state = lifecycle.state();
        if (state != ProcessState.SERVING) {
            return "this agent is " + state.text();
        }
        return linkCount.getAsLong() > 0 ? "" : "no entry is linked";
    }

    @Override
    public String metrics() {
        return metrics.get();
    }
}
