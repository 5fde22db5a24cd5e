package org.knapweedmount.daemon.agent;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.knapweedmount.daemon.http.ProcessPages;

/** Tells whether this agent can be given work; any thread may use it. */
final class AgentReadiness implements ProcessPages {
    private final LongSupplier linkCount;
    private final Supplier<String> metrics;
    private volatile boolean draining;

    AgentReadiness(LongSupplier linkCount, Supplier<String> metrics) {
        this.linkCount = linkCount;
        this.metrics = metrics;
    }

    /** Takes note that this agent takes no new work from now on. */
    void drain() {
        draining = true;
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public String notReadyReason() {
        if (draining) {
            return "this agent is draining";
        }
        return linkCount.getAsLong() > 0 ? "" : "no entry is linked";
    }

    @Override
    public String metrics() {
        return metrics.get();
    }
}
