package org.knapweedmount.core.worker;

import java.util.List;
import java.util.Objects;

import org.knapweedmount.api.Resources;

/**
 * What a worker tells of itself from time to time.
 *
 * @param incarnation the worker's life
 * @param service the service that it belongs to
 * @param sequence rises with each announcement of a life
 * @param capacity the room that it has
 * @param labels its kind and rack
 * @param draining true if it is about to leave
 * @param clockMillis the worker's steady clock, in ms
 */
public record WorkerAnnouncement(
        WorkerIncarnation incarnation,
        String service,
        long sequence,
        Resources capacity,
        List<String> labels,
        boolean draining,
        long clockMillis) {
    /** Copies the labels. */
    public WorkerAnnouncement {
        Objects.requireNonNull(incarnation, "life");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = List.copyOf(labels);
    }
}
