package org.knapweedmount.core.worker;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.knapweedmount.api.Resources;

/**
 * Decides which entry is offered free room.
 *
 * <p>Load pattern: while several entries have queues, each room that becomes free goes to the entry whose most urgent task
 * has to start first; an entry whose most urgent task does not fit is passed over.
 */
final class OfferOrder {
    private OfferOrder() {}

    /** Picks the entry whose most urgent task is due first and fits. */
    static Optional<EntryLease> next(Collection<EntryLease> entries, Resources free) {
        return entries.stream()
                .filter(EntryLease::wants)
                .filter(entry -> entry.demand().smallestTask().fits(free))
                .min(Comparator.comparingLong(EntryLease::dueNanos));
    }
}
