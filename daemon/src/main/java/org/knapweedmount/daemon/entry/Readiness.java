package org.knapweedmount.daemon.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.knapweedmount.daemon.http.ProcessPages;

/** Tells whether this entry takes requests; any thread may use it. */
final class Readiness implements ProcessPages {
    private final BooleanSupplier configured;
    private final Supplier<String> metrics;
    private volatile boolean serving;
    private final AtomicBoolean draining = new AtomicBoolean();

    Readiness(BooleanSupplier configured, Supplier<String> metrics) {
        this.configured = configured;
        this.metrics = metrics;
    }

    /** Takes note whether some agent with slots gets new work. */
    void serving(boolean newServing) {
        serving = newServing;
    }

    /** Takes note that this entry takes no new work from now on; tells whether it did until now. */
    boolean drain() {
        return draining.compareAndSet(false, true);
    }

    @Override
    public boolean draining() {
        return draining.get();
    }

    @Override
    public String notReadyReason() {
        if (draining.get()) {
            return "this entry is draining";
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
