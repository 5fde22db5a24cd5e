package org.knapweedmount.daemon.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLog;

/**
 * The metrics of a process whose decisions run on the event loop; they are registered at the first scrape, because
 * creating the registry earlier would slow down the start of the process.
 */
public final class LazyProcessMetrics {
    private final DecisionLog log;
    private final LinkTable<?> links;
    private final List<Consumer<ProcessMetrics>> otherRegistrations = new ArrayList<>();
    private ProcessMetrics metrics;

    /**
     * Creates metrics that are not registered yet.
     *
     * @param log the decision log, whose events are counted
     * @param links the links
     * @param otherRegistrations registers the other metrics of the process
     */
    public LazyProcessMetrics(DecisionLog log, LinkTable<?> links, Consumer<ProcessMetrics> otherRegistrations) {
        this.log = log;
        this.links = links;
        this.otherRegistrations.add(otherRegistrations);
    }

    /**
     * Adds metrics of the process that its owner keeps; must be called before the first scrape.
     *
     * @param registrations registers the metrics
     */
    public void add(Consumer<ProcessMetrics> registrations) {
        otherRegistrations.add(registrations);
    }

    /**
     * Returns all metrics; always called on the same thread.
     *
     * @return the metrics in the text format of Prometheus
     */
    public String scrape() {
        if (metrics == null) {
            metrics = new ProcessMetrics();
            metrics.links(links);
            metrics.linesLeftOut(log);
            otherRegistrations.forEach(registration -> registration.accept(metrics));
        }
        metrics.events(log);
        metrics.messages("sent", links.sentMessages());
        metrics.messages("received", links.receivedMessages());
        return metrics.scrape();
    }
}
