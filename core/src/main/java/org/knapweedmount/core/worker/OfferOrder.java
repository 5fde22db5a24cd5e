package org.knapweedmount.core.worker;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.knapweedmount.api.Resources;

/**
 * Decides which entry is offered free capacity.
 *
 * <p>Load pattern: while several entries have queues, capacity that becomes free goes to the entry whose most urgent
 * task has to start first; an entry whose most urgent task does not fit is skipped.
 */
final class OfferOrder {
    private OfferOrder() {}

    /** Returns the entry whose most urgent task is due first among those that fit. */
    static Optional<EntryView> next(Collection<EntryView> entries, Resources free) {
        return entries.stream()
                .filter(EntryView::canBeOffered)
                .filter(entry -> entry.demand().smallestTask().fits(free))
                .min(Comparator.comparingLong(EntryView::dueNanos));
    }
}
