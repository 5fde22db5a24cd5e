package org.knapweedmount.daemon.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds rows of entries that have not changed during many heartbeats of the observer.
 *
 * <p>Only versions are compared, so rows do not age while the table service rejects writes or the observer is paused. A
 * row that is reported by mistake does no harm: its entry writes it again with its next heartbeat.
 */
final class OutdatedRowDetector {
    /** The number of heartbeats of the observer after which an unchanged row is outdated. */
    static final long OUTDATED_AFTER_HEARTBEATS = 360;

    private final RowId ownId;
    private Map<RowId, FirstSeen> firstSeenById = new HashMap<>();

    /**
     * The state in which a version of a row was first seen.
     *
     * @param version the version of the row
     * @param ownVersion the version of the observer's own row at that time
     */
    private record FirstSeen(long version, long ownVersion) {}

    OutdatedRowDetector(RowId ownId) {
        this.ownId = ownId;
    }

    /**
     * Records the rows that exist now.
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
