package org.knapweedmount.core.worker;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.knapweedmount.api.Resources;

/**
 * Decides which entry is offered free capacity.
 *
 * <p>Load pattern: while several entries have queues, capacity that becomes free goes to the entry whose demand has the
 * earliest virtual deadline; an entry whose smallest task does not fit is skipped.
 */
final class OfferOrder {
    private OfferOrder() {}

    /** Returns the entry with the earliest virtual deadline among those whose smallest task fits. */
    static Optional<EntryView> next(Collection<EntryView> entries, Resources free) {
        return entries.stream()
                .filter(EntryView::canBeOffered)
                .filter(entry -> entry.demand().smallestTask().fits(free))
                .min(Comparator.comparingLong(EntryView::virtualDeadlineNanos));
    }
}
