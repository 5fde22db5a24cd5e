package org.knapweedmount.daemon.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds rows of entries that have not changed while the table service took many beats of the observer.
 *
 * <p>Only versions are compared. While the table service takes no writes, or the observer is paused, no row ages. A row
 * that is found outdated by mistake does no harm: its entry writes it again with its next beat.
 */
final class OutdatedRowDetector {
    /** The number of beats of the observer after which a row that has not changed is outdated. */
    static final long OUTDATED_AFTER_HEARTBEATS = 360;

    private final RowId ownId;
    private Map<RowId, FirstSeen> firstSeenById = new HashMap<>();

    /**
     * When a version was seen first.
     *
     * @param version the version of the row
     * @param ownVersion the version of the observer's row then
     */
    private record FirstSeen(long version, long ownVersion) {}

    OutdatedRowDetector(RowId ownId) {
        this.ownId = ownId;
    }

    /**
     * Takes the rows that exist now.
     *
     * @param rows all rows of entries
     * @return the rows that are outdated, none if the observer's own row is missing
     */
    List<Row> observe(List<Row> rows) {
        Optional<Row> ownRow =
                rows.stream().filter(row -> row.id().equals(ownId)).findFirst();
        if (ownRow.isEmpty()) {
            firstSeenById.clear();
            return List.of();
        }
        long ownVersion = ownRow.get().version();
        Map<RowId, FirstSeen> next = new HashMap<>();
        rows.forEach(row -> next.put(row.id(), firstSeen(row, ownVersion)));
        firstSeenById = next;
        return rows.stream()
                .filter(row -> !row.id().equals(ownId))
                .filter(row -> ownVersion - firstSeenById.get(row.id()).ownVersion >= OUTDATED_AFTER_HEARTBEATS)
                .toList();
    }

    private FirstSeen firstSeen(Row row, long ownVersion) {
        FirstSeen previous = firstSeenById.get(row.id());
        boolean same = previous != null && previous.version == row.version() && previous.ownVersion <= ownVersion;
        return same ? previous : new FirstSeen(row.version(), ownVersion);
    }
}
