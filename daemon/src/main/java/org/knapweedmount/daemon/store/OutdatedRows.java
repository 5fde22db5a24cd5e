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
final class OutdatedRows {
    /** The number of beats of the observer after which a row that has not changed is outdated. */
    static final long OUTDATED_BEATS = 360;

    private final RowId own;
    private Map<RowId, Mark> marks = new HashMap<>();

    /**
     * When a version was seen first.
     *
     * @param version the version of the row
     * @param ownVersion the version of the observer's row then
     */
    private record Mark(long version, long ownVersion) {}

    OutdatedRows(RowId own) {
        this.own = own;
    }

    /**
     * Takes the rows that exist now.
     *
     * @param rows all rows of entries
     * @return the rows that are outdated, none if the observer's own row is missing
     */
    List<Row> observe(List<Row> rows) {
        Optional<Row> ownRow = rows.stream().filter(row -> row.id().equals(own)).findFirst();
        if (ownRow.isEmpty()) {
            marks.clear();
            return List.of();
        }
        long ownVersion = ownRow.get().version();
        Map<RowId, Mark> next = new HashMap<>();
        rows.forEach(row -> next.put(row.id(), mark(row, ownVersion)));
        marks = next;
        return rows.stream()
                .filter(row -> !row.id().equals(own))
                .filter(row -> ownVersion - marks.get(row.id()).ownVersion >= OUTDATED_BEATS)
                .toList();
    }

    private Mark mark(Row row, long ownVersion) {
        Mark before = marks.get(row.id());
        boolean same = before != null && before.version == row.version() && before.ownVersion <= ownVersion;
        return same ? before : new Mark(row.version(), ownVersion);
    }
}
