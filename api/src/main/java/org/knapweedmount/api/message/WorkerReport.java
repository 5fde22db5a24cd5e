package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.Resources;

/**
 * Tells an entry what room a worker has, and when its agent sent this.
 *
 * <p>The entry sends the stamp back with all that it wants of the worker, so that the agent knows how old the wish is by
 * its own clock.
 *
 * @param timestampNanos the time of the agent's clock, in ns
 * @param service the service that the worker belongs to
 * @param worker the worker in its present life
 * @param labels the worker's kind and rack
 * @param capacity the room of the whole worker
 * @param free the room that is neither taken nor offered to another entry
 * @param acceptsStarts true if the worker takes starts
 * @param lastOrderNumber the number of the last order of the entry that the free room takes into account
 * @param otherBacklogCoreMillis the work that other entries have queued, in milliseconds of a core
 * @param slowdownPercent how long runs take on the worker at present, in percent of the expected time
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
        int slowdownPercent)
        implements Message {
    /** Copies the labels. */
    public WorkerReport {
        labels = List.copyOf(labels);
    }
}
