package org.knapweedmount.daemon.metrics;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.knapweedmount.core.dispatch.JobLatencies;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.daemon.link.LinkCounter;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLog;
import org.knapweedmount.daemon.runtime.DecisionLoop;

/**
 * The metrics of one process.
 *
 * <p>The decisions and links count by themselves; a meter reads their counters when the metrics are asked for, so that
 * counting costs the decision thread no more than an addition.
 */
public final class ProcessMetrics {
    private static final String PREFIX = "knapweedmount.";

    /** The sources of the counters, which the registry itself would not keep from the garbage collector. */
    private final List<LongSupplier> sources = new ArrayList<>();

    private final Set<String> events = new HashSet<>();

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Creates the metrics of the process's memory; the others are added by its parts. */
    public ProcessMetrics() {
        Runtime runtime = Runtime.getRuntime();
        gauge("memory.heap.used.bytes", "Heap in use", () -> runtime.totalMemory() - runtime.freeMemory());
        gauge("memory.heap.max.bytes", "The largest heap", runtime::maxMemory);
        gauge("memory.resident.bytes", "Memory of the process that is resident", ProcessMemory::residentBytes);
        gauge("memory.direct.bytes", "Memory of network buffers", ProcessMemory::directBytes);
    }

    /**
     * Adds a counter for each constant of an enum, for instance {@code knapweedmount_agent_started_total}.
     *
     * @param part the part of the process, which the names begin with
     * @param names the enum that names the counters
     * @param counters the counters
     * @param <E> the enum
     */
    public <E extends Enum<E>> void counters(String part, Class<E> names, Counters<E> counters) {
        for (E name : names.getEnumConstants()) {
            String text = name.name().toLowerCase(Locale.ROOT).replace('_', '.');
            counter(part + "." + text, () -> counters.value(name));
        }
    }

    /**
     * Adds the violations of invariants.
     *
     * @param invariants the checks
     */
    public void invariants(Invariants invariants) {
        counter("invariant.violations", invariants::violations);
    }

    /**
     * Adds what the ring of the decision thread tells.
     *
     * @param loop the decision thread
     */
    public void decisions(DecisionLoop<?> loop) {
        gauge("decisions.waiting", "Events in the ring of the decision thread", loop::depth);
        counter("decisions.refused", loop::refused);
        counter("decisions.failed", loop::failures);
    }

    /**
     * Adds what the links tell.
     *
     * @param links the links
     */
    public void links(LinkTable<?> links) {
        gauge("links", "Links that are up", links::linkCount);
        gauge("links.outbox.waiting", "Messages that wait for the event loop", links::outboxDepth);
        counters("links", LinkCounter.class, links.counters());
    }

    /**
     * Adds a value that goes up and down.
     *
     * @param name the name, in words joined by dots
     * @param description what the value tells
     * @param value reads the value; any thread may call it
     */
    public void gauge(String name, String description, LongSupplier value) {
        Gauge.builder(PREFIX + name, value, LongSupplier::getAsLong)
                .description(description)
                .strongReference(true)
                .register(registry);
    }

    /**
     * Adds a counter for each kind of event that a decision log has seen, unless it is there already.
     *
     * @param log the log
     */
    public void events(DecisionLog log) {
        for (String event : log.counts().keySet()) {
            if (events.add(event)) {
                counter("events." + event.replace('-', '.'), () -> log.counts().getOrDefault(event, 0L));
            }
        }
    }

    /**
     * Adds a histogram of how long answered jobs took: for each kind of answer and each upper bound {@code le}, in ms, the
     * number of jobs that were answered within it.
     *
     * @param latencies the counts
     */
    public void jobs(JobLatencies latencies) {
        for (JobResult.Kind kind : JobResult.Kind.values()) {
            for (int classes = 1; classes <= JobLatencies.BOUNDS_MILLIS.size() + 1; classes++) {
                boolean last = classes > JobLatencies.BOUNDS_MILLIS.size();
                String bound = last
                        ? "+Inf"
                        : JobLatencies.BOUNDS_MILLIS.get(classes - 1).toString();
                int counted = classes;
                LongSupplier value = () -> latencies.cumulativeCount(kind, counted);
                sources.add(value);
                FunctionCounter.builder(PREFIX + "jobs.within.millis", value, LongSupplier::getAsLong)
                        .tag("kind", kind.name().toLowerCase(Locale.ROOT))
                        .tag("le", bound)
                        .register(registry);
            }
        }
    }

    private void counter(String name, LongSupplier value) {
        sources.add(value);
        FunctionCounter.builder(PREFIX + name, value, LongSupplier::getAsLong).register(registry);
    }

    /**
     * Gives all metrics.
     *
     * @return the text in the format of Prometheus
     */
    public String scrape() {
        return registry.scrape();
    }
}
