package org.knapweedmount.daemon.entry;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.knapweedmount.daemon.http.ProcessPages;
import org.knapweedmount.daemon.runtime.ProcessLife;
import org.knapweedmount.daemon.runtime.ProcessState;

/** Tells whether this entry takes requests; any thread may use it. */
final class Readiness implements ProcessPages {
    private final ProcessLife life;
    private final BooleanSupplier configured;
    private final Supplier<String> metrics;
    private volatile boolean serving;

    Readiness(ProcessLife life, BooleanSupplier configured, Supplier<String> metrics) {
        this.life = life;
        this.configured = configured;
        this.metrics = metrics;
    }

    /** Takes note whether some agent with slots gets new work. */
    void serving(boolean newServing) {
        serving = newServing;
    }

    /** Returns where this entry stands. */
    ProcessState state() {
        return life.state();
    }

    @Override
    public boolean draining() {
        return state().stopping();
    }

    @Override
    public String notReadyReason() {
        ProcessState state = state();
        if (state != ProcessState.SERVING) {
            return "this entry is " + state.text();
        }
        if (!configured.getAsBoolean()) {
            return "no configuration has been read yet";
        }
        return serving ? "" : "no agent with slots is linked";
    }

    @Override
    public String metrics() {
        return metrics.get();
    }
}
