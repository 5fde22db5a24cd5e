package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.Resources;

/**
 * Reports the resources of a worker to an entry.
 *
 * <p>The entry returns the timestamp with each request about the worker, so that the agent can determine the age of the
 * request by the clock of the worker, which ends the runs.
 *
 * @param timestampNanos a time that the worker's clock had reached when the report was sent, in ns from a start that
 *     only the agent knows; it is valid only for this agent and the current incarnation of the worker
 * @param service the name of the service that the worker belongs to
 * @param worker the ID of the worker's current incarnation
 * @param labels the labels of the worker: its kind and rack
 * @param capacity the total resources of the worker
 * @param free the resources that are neither in use nor offered to another entry
 * @param acceptsStarts true if the worker accepts starts
 * @param lastOrderNumber the number of the entry's last order that is included in the free resources
 * @param otherBacklogCoreMillis the work that other entries have queued, in milliseconds of one core
 * @param slowdownPercent the current run time of runs on the worker, in percent of the expected run time
 * @param prompt true if the receiver is told of large changes at once, and not only from time to time
 * @param condition what is known of the worker beyond its resources
 */
public record WorkerReport(
        long timestampNanos,
        String service,
        String worker,
        List<String> labels,
        Resources capacity,
        Resources free,
        boolean acceptsStarts,
        long lastOrderNumber,
        long otherBacklogCoreMillis,
        int slowdownPercent,
        boolean prompt,
        WorkerCondition condition)
        implements Message {
    /** Copies the list of labels. */
    public WorkerReport {
        labels = List.copyOf(labels);
    }
}
