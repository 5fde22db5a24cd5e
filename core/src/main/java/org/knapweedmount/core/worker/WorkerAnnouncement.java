package org.knapweedmount.core.worker;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

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
 * @param coldMillis how much longer it is slow after its start, in ms; empty if it does not say
 * @param remainingMillis the minimum time until it leaves if it is draining, in ms; empty if it does not say
 */
public record WorkerAnnouncement(
        WorkerIncarnation incarnation,
        String service,
        long sequence,
        Resources capacity,
        List<String> labels,
        boolean draining,
        long clockMillis,
        OptionalInt coldMillis,
        OptionalInt remainingMillis) {
    /** Stands for the worker before its first announcement. */
    static final WorkerAnnouncement NONE =
            new WorkerAnnouncement(new WorkerIncarnation("", 0), "", 0, Resources.NONE, List.of(), false, 0);

    /** Creates an announcement with a copy of the labels, after checking for null values. */
    public WorkerAnnouncement {
        Objects.requireNonNull(incarnation, "life");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        Objects.requireNonNull(coldMillis, "coldMillis");
        Objects.requireNonNull(remainingMillis, "remainingMillis");
        labels = List.copyOf(labels);
    }

    /**
     * Creates an announcement without times of a cold start or a departure.
     *
     * @param incarnation the worker's incarnation
     * @param service the service that it belongs to
     * @param sequence increases with each announcement of an incarnation
     * @param capacity its total capacity
     * @param labels its kind and rack
     * @param draining true if it is about to leave
     * @param clockMillis the worker's monotonic clock, in ms
     */
    public WorkerAnnouncement(
            WorkerIncarnation incarnation,
            String service,
            long sequence,
            Resources capacity,
            List<String> labels,
            boolean draining,
            long clockMillis) {
        this(
                incarnation,
                service,
                sequence,
                capacity,
                labels,
                draining,
                clockMillis,
                OptionalInt.empty(),
                OptionalInt.empty());
    }
}
