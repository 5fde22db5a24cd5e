package org.knapweedmount.daemon.entry;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.knapweedmount.daemon.http.ProcessHealth;
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.ProcessState;

/** Reports whether this entry accepts requests. Thread-safe. */
final class Readiness implements ProcessHealth {
    private final ProcessLifecycle lifecycle;
    private final BooleanSupplier configured;
    private final Supplier<String> metrics;
    private volatile boolean serving;

    Readiness(ProcessLifecycle lifecycle, BooleanSupplier configured, Supplier<String> metrics) {
        this.lifecycle = lifecycle;
        this.configured = configured;
        this.metrics = metrics;
    }

    /** Records whether at least one agent with slots accepts new work. */
    void serving(boolean newServing) {
        serving = newServing;
    }

    ProcessState state() {
        return lifecycle.state();
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
