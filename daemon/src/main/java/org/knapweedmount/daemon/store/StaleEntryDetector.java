package org.knapweedmount.daemon.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.PeerAddress;

/**
 * Observes the rows of entries and separates those that still change from stale ones.
 *
 * <p>Ages are measured with the observer's own clock, so that clock skew between processes has no effect.
 */
public final class StaleEntryDetector {
    private final long staleAfterNanos;
    private Map<String, ObservedVersion> observed = new HashMap<>();

    private record ObservedVersion(long version, long changedNanos) {}

    /**
     * Creates a detector that has observed no rows.
     *
     * @param staleAfterNanos the time without a change after which a row is stale, in ns
     */
    public StaleEntryDetector(long staleAfterNanos) {
        this.staleAfterNanos = staleAfterNanos;
    }

    /**
     * Records the rows that exist now.
     *
     * @param rows all rows of entries
     * @param nowNanos the current time, in ns
     * @return the entries, divided into recent and stale ones
     */
    public KnownEntries observe(List<Row> rows, long nowNanos) {
        Map<String, ObservedVersion> next = new HashMap<>();
        List<PeerAddress> recent = new ArrayList<>();
        List<PeerAddress> stale = new ArrayList<>();
        for (Row row : rows) {
            ObservedVersion latest = latest(row, nowNanos);
            next.put(row.id().key(), latest);
            boolean isStale = nowNanos - latest.changedNanos >= staleAfterNanos;
            EntryRow.parse(row).ifPresent(entry -> (isStale ? stale : recent).add(entry.address()));
        }
        observed = next;
        return new KnownEntries(recent, stale);
    }

    private ObservedVersion latest(Row row, long nowNanos) {
        ObservedVersion previous = observed.get(row.id().key());
        boolean changed = previous == null || previous.version != row.version();
        return changed ? new ObservedVersion(row.version(), nowNanos) : previous;
    }
}
