package org.knapweedmount.core.worker;

import java.util.List;
import java.util.Objects;

import org.knapweedmount.api.Resources;

/**
 * A periodic announcement of a worker.
 *
 * @param incarnation the worker's incarnation
 * @param service the service that it belongs to
 * @param sequence increases with each announcement of an incarnation
 * @param capacity its total capacity
 * @param labels its kind and rack
 * @param draining true if it is about to leave
 * @param clockMillis the worker's monotonic clock, in ms
 */
public record WorkerAnnouncement(
        WorkerIncarnation incarnation,
        String service,
        long sequence,
        Resources capacity,
        List<String> labels,
        boolean draining,
        long clockMillis) {
    /** Stands for the worker before its first announcement. */
    static final WorkerAnnouncement NONE =
            new WorkerAnnouncement(new WorkerIncarnation("", 0), "", 0, Resources.NONE, List.of(), false, 0);

    /** Creates an announcement with a copy of the labels, after checking for null values. */
    public WorkerAnnouncement {
        Objects.requireNonNull(incarnation, "life");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = List.copyOf(labels);
    }
}
