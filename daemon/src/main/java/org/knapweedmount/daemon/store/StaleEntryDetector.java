package org.knapweedmount.daemon.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.PeerAddress;

/**
 * Observes the rows of entries and tells those that still change from those that no longer do.
 *
 * <p>Ages are taken from the observer's own clock, so that clocks of other processes do not matter.
 */
public final class StaleEntryDetector {
    private final long staleAfterNanos;
    private Map<String, ObservedVersion> observed = new HashMap<>();

    private record ObservedVersion(long version, long changedNanos) {}

    /**
     * Creates an observer that has seen nothing.
     *
     * @param staleAfterNanos the time without a change after which a row is stale, in ns
     */
    public StaleEntryDetector(long staleAfterNanos) {
        this.staleAfterNanos = staleAfterNanos;
    }

    /**
     * Takes the rows that exist now.
     *
     * @param rows all rows of entries
     * @param nowNanos the present time
     * @return the entries
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
