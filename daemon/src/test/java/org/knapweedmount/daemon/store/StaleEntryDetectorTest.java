package org.knapweedmount.daemon.store;

import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class StaleEntryDetectorTest {
    private static final PeerAddress FIRST = address("entry-1");
    private static final PeerAddress SECOND = address("entry-2");

    private final StaleEntryDetector detector = new StaleEntryDetector(100);

    @Test
    void unchangedRowIsStaleUntilItChanges() {
        detector.observe(List.of(row(FIRST, 1), row(SECOND, 1)), 0);
        detector.observe(List.of(row(FIRST, 2), row(SECOND, 1)), 50);

        KnownEntries later = detector.observe(List.of(row(FIRST, 2), row(SECOND, 1)), 100);
        assertThat(later, is(new KnownEntries(List.of(FIRST), List.of(SECOND))));

        KnownEntries back = detector.observe(List.of(row(FIRST, 2), row(SECOND, 2)), 120);
        assertThat(back, is(new KnownEntries(List.of(FIRST, SECOND), List.of())));
    }

    @Test
    void oldRowIsRecentWhenItIsSeenForTheFirstTime() {
        KnownEntries known = detector.observe(List.of(row(FIRST, 900)), 1_000);

        assertThat(known, is(new KnownEntries(List.of(FIRST), List.of())));
    }

    @Test
    void rowKeepsTheRegionAndOneWithoutIsOfTheDefaultRegion() {
        PeerAddress remote =
                new PeerAddress(SECOND.incarnation(), Role.ENTRY, "elsewhere", "bilbao", "127.0.0.1", 7101);
        ObjectNode without = new EntryRow(remote, 1).value().deepCopy();
        without.remove("region");

        assertThat(EntryRow.parse(row(remote, 1)).orElseThrow().address(), is(remote));
        Row old = new Row(EntryRow.rowId(remote.incarnation()), 1, without);
        assertThat(EntryRow.parse(old).orElseThrow().address().region(), is(PeerAddress.DEFAULT_REGION));
    }

    private static Row row(PeerAddress address, long version) {
        return new Row(EntryRow.rowId(address.incarnation()), version, new EntryRow(address, version).value());
    }

    private static PeerAddress address(String name) {
        return new PeerAddress(new Incarnation(name, 1), Role.ENTRY, "rennes", "127.0.0.1", 7101);
    }
}
