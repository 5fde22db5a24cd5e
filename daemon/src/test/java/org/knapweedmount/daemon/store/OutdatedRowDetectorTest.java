package org.knapweedmount.daemon.store;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.daemon.store.OutdatedRowDetector.OUTDATED_AFTER_HEARTBEATS;

class OutdatedRowDetectorTest {
    private static final RowId OWN = new RowId(EntryRow.TABLE, "entry-1");
    private static final RowId OTHER = new RowId(EntryRow.TABLE, "entry-2");

    private final OutdatedRowDetector detector = new OutdatedRowDetector(OWN);

    private static Row row(RowId id, long version) {
        return new Row(id, version, JsonNodeFactory.instance.objectNode());
    }

    private List<Row> observe(long ownVersion, long otherVersion) {
        return detector.observe(List.of(row(OWN, ownVersion), row(OTHER, otherVersion)));
    }

    @Test
    void unchangedRowIsOutdatedAfterManyOwnHeartbeats() {
        observe(5, 9);

        assertThat(observe(5 + OUTDATED_AFTER_HEARTBEATS - 1, 9), is(empty()));
        assertThat(observe(5 + OUTDATED_AFTER_HEARTBEATS, 9), contains(row(OTHER, 9)));
    }

    @Test
    void rowThatChangesIsNeverOutdated() {
        List<Row> found = new ArrayList<>();
        for (long version = 1; version < 3 * OUTDATED_AFTER_HEARTBEATS; version += OUTDATED_AFTER_HEARTBEATS - 1) {
            found.addAll(observe(version, version));
        }

        assertThat(found, is(empty()));
    }

    @Test
    void nothingAgesWhileTheOwnRowIsNotWritten() {
        List<Row> found = new ArrayList<>();
        for (int list = 0; list < 10_000; list++) {
            found.addAll(observe(5, 9));
        }

        assertThat(found, is(empty()));
    }

    @Test
    void missingOwnRowResetsTheAges() {
        observe(5, 9);
        assertThat(detector.observe(List.of(row(OTHER, 9))), is(empty()));

        assertThat(observe(5 + OUTDATED_AFTER_HEARTBEATS, 9), is(empty()));
        assertThat(observe(1, 9), is(empty()));
        assertThat(observe(OUTDATED_AFTER_HEARTBEATS, 9), is(empty()));
    }
}
