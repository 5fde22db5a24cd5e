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
import org.knapweedmount.core.dispatch.WaitReason;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.core.metric.MillisHistogram;
import org.knapweedmount.daemon.link.LinkCounter;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.link.MessageCounts;
import org.knapweedmount.daemon.output.ProcessOutput;
import org.knapweedmount.daemon.runtime.DecisionLog;
import org.knapweedmount.daemon.runtime.DecisionLoop;

/**
 * The metrics registry of a process.
 *
 * <p>Meters read the counters of the decision thread and the links at each scrape, so that counting costs the decision
 * thread no more than an addition.
 */
public final class ProcessMetrics {
    private static final String PREFIX = "knapweedmount.";

    /** Strong references to the sources of the counters, as the registry holds only weak ones. */
    private final List<LongSupplier> sources = new ArrayList<>();

    private final Set<String> events = new HashSet<>();
    private final Set<String> messages = new HashSet<>();

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Creates a registry with the memory metrics; other metrics are added by the parts of the process. */
    public ProcessMetrics() {
        Runtime runtime = Runtime.getRuntime();
        gauge("memory.heap.used.bytes", "Heap in use", () -> runtime.totalMemory() - runtime.freeMemory());
        gauge("memory.heap.max.bytes", "The largest heap", runtime::maxMemory);
        gauge("memory.resident.bytes", "Memory of the process that is resident", ProcessMemory::residentBytes);
        gauge("memory.direct.bytes", "Memory of network buffers", ProcessMemory::directBytes);
        counter("processor.millis", ProcessorTime::millis);
        counter("output.lines.dropped", ProcessOutput::droppedLines);
    }

    /**
     * Adds a counter for each constant of an enum, for instance {@code knapweedmount_agent_started_total}.
     *
     * @param part the part of the process, used as the prefix of the names
     * @param names the enum whose constants name the counters
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
     * Adds the counter of invariant violations.
     *
     * @param invariants the invariant checks
     */
    public void invariants(Invariants invariants) {
        counter("invariant.violations", invariants::violations);
    }

    /**
     * Adds the metrics of the decision queue.
     *
     * @param loop the decision thread
     */
    public void decisions(DecisionLoop<?> loop) {
        gauge("decisions.waiting", "Events in the ring of the decision thread", loop::depth);
        counter("decisions.refused", loop::refused);
        counter("decisions.failed", loop::failures);
    }

    /**
     * Adds the metrics of the links.
     *
     * @param links the links
     */
    public void links(LinkTable<?> links) {
        gauge("links", "Links that are up", links::linkCount);
        gauge("links.outbox.waiting", "Messages that wait for the event loop", links::outboxDepth);
        counters("links", LinkCounter.class, links.counters());
    }

    /**
     * Adds a gauge.
     *
     * @param name the name, words separated by dots
     * @param description the description of the gauge
     * @param value reads the value; any thread may call it
     */
    public void gauge(String name, String description, LongSupplier value) {
        Gauge.builder(PREFIX + name, value, LongSupplier::getAsLong)
                .description(description)
                .strongReference(true)
                .register(registry);
    }

    /**
     * Adds the counter of the events in a decision log that have no line, because of the rate limit or because nobody reads
     * the output.
     *
     * @param log the log
     */
    public void linesLeftOut(DecisionLog log) {
        counter("log.lines.left.out", log::droppedLines);
    }

    /**
     * Adds a counter for each event name in a decision log that has no counter yet.
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
     * Adds a counter for each type of message that has no counter yet.
     *
     * @param direction {@code sent} or {@code received}
     * @param counts the numbers of messages by type
     */
    public void messages(String direction, MessageCounts counts) {
        for (String type : counts.byType().keySet()) {
            if (messages.add(direction + type)) {
                LongSupplier value = () -> counts.byType().getOrDefault(type, 0L);
                sources.add(value);
                FunctionCounter.builder(PREFIX + "messages." + direction, value, LongSupplier::getAsLong)
                        .tag("type", type)
                        .register(registry);
            }
        }
    }

    /**
     * Adds a cumulative histogram of the latency of answered jobs: for each kind of answer and each upper bound
     * {@code le}, in ms, the number of jobs answered within the bound.
     *
     * @param latencies the latency counts
     */
    public void jobs(JobLatencies latencies) {
        histogram("jobs.within.millis", "kind", latencies.histogram());
    }

    /**
     * Adds a cumulative histogram of the waits of requests before their jobs are admitted: for each reason and each upper
     * bound {@code le}, in ms, the number of requests that waited no longer.
     *
     * @param waits the counts of waits
     */
    public void waits(MillisHistogram<WaitReason> waits) {
        histogram("waits.within.millis", "reason", waits);
    }

    private <E extends Enum<E>> void histogram(String name, String kindTag, MillisHistogram<E> histogram) {
        List<Integer> bounds = histogram.boundsMillis();
        for (E kind : histogram.kinds()) {
            for (int bucketCount = 1; bucketCount <= bounds.size() + 1; bucketCount++) {
                boolean last = bucketCount > bounds.size();
                int countedBuckets = bucketCount;
                LongSupplier value = () -> histogram.cumulativeCount(kind, countedBuckets);
                sources.add(value);
                FunctionCounter.builder(PREFIX + name, value, LongSupplier::getAsLong)
                        .tag(kindTag, kind.name().toLowerCase(Locale.ROOT))
                        .tag("le", last ? "+Inf" : bounds.get(bucketCount - 1).toString())
                        .register(registry);
            }
        }
    }

    private void counter(String name, LongSupplier value) {
        sources.add(value);
        FunctionCounter.builder(PREFIX + name, value, LongSupplier::getAsLong).register(registry);
    }

    /**
     * Returns all metrics.
     *
     * @return the metrics in the text format of Prometheus
     */
    public String scrape() {
        return registry.scrape();
    }
}
