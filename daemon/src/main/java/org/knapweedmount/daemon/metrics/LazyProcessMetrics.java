package org.knapweedmount.daemon.metrics;

import java.util.function.Consumer;

import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLog;

/**
 * The metrics of a process that decides on its event loop; nothing is registered before they are asked for, because the
 * registry would lengthen the start of the process.
 */
public final class LazyProcessMetrics {
    private final DecisionLog log;
    private final LinkTable<?> links;
    private final Consumer<ProcessMetrics> others;
    private ProcessMetrics metrics;

    /**
     * Creates metrics that nobody has asked for.
     *
     * @param log counts the events
     * @param links the links
     * @param others adds what else the process counts
     */
    public LazyProcessMetrics(DecisionLog log, LinkTable<?> links, Consumer<ProcessMetrics> others) {
        this.log = log;
        this.links = links;
        this.others = others;
    }

    /**
     * Gives all metrics; called on one thread.
     *
     * @return the text in the format of Prometheus
     */
    public String scrape() {
        if (metrics == null) {
            metrics = new ProcessMetrics();
            metrics.links(links);
            others.accept(metrics);
        }
        metrics.events(log);
        return metrics.scrape();
    }
}
