package org.knapweedmount.api.message;

import java.util.List;
import java.util.Objects;

/**
 * What an agent knows of the condition of its worker beyond its resources.
 *
 * @param availability why the worker accepts starts or not
 * @param coldMillis how much longer the worker is slow after its start, in ms
 * @param interference the pairs of kinds of tasks that slow each other down on this worker, as far as was observed
 */
public record WorkerCondition(Availability availability, int coldMillis, List<KindInterference> interference) {
    /** The condition of a worker that is warm, healthy and open, and of which nothing else is known. */
    public static final WorkerCondition NORMAL = new WorkerCondition(Availability.OPEN, 0, List.of());

    /** Why a worker accepts starts or not. */
    public enum Availability {
        /** The worker accepts starts. */
        OPEN,
        /** The worker accepts no starts because runs on it fail or stall; it may be used if there is no other. */
        UNHEALTHY,
        /** The worker accepts no starts for another reason, for example because it leaves. */
        CLOSED
    }

    /** Copies the list, after checking for null values. */
    public WorkerCondition {
        Objects.requireNonNull(availability, "availability");
        interference = List.copyOf(interference);
    }

    /**
     * Replaces the pairs of kinds.
     *
     * @param pairs the pairs of kinds of tasks that slow each other down
     * @return this condition with the pairs; this one itself if neither has any
     */
    public WorkerCondition withInterference(List<KindInterference> pairs) {
        return pairs.isEmpty() && interference.isEmpty() ? this : new WorkerCondition(availability, coldMillis, pairs);
    }
}
