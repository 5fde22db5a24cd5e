package org.knapweedmount.daemon.agent;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.knapweedmount.daemon.http.ProcessPages;
import org.knapweedmount.daemon.runtime.ProcessLife;
import org.knapweedmount.daemon.runtime.ProcessState;

/** Reports whether this agent can accept work. Thread-safe. */
final class AgentReadiness implements ProcessPages {
    private final ProcessLife life;
    private final LongSupplier linkCount;
    private final Supplier<String> metrics;

    AgentReadiness(ProcessLife life, LongSupplier linkCount, Supplier<String> metrics) {
        this.life = life;
        this.linkCount = linkCount;
        this.metrics = metrics;
    }

    @Override
    public boolean draining() {
        return life.state().stopping();
    }

    @Override
    public String notReadyReason() {
        ProcessState state = life.state();
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
