package org.knapweedmount.daemon.store;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.daemon.store.OutdatedRows.OUTDATED_BEATS;

class OutdatedRowsTest {
    private static final RowId OWN = new RowId(EntryRow.TABLE, "entry-1");
    private static final RowId OTHER = new RowId(EntryRow.TABLE, "entry-2");

    private final OutdatedRows outdated = new OutdatedRows(OWN);

    private static Row row(RowId name, long version) {
        return new Row(name, version, JsonNodeFactory.instance.objectNode());
    }

    private List<Row> observe(long ownVersion, long otherVersion) {
        return outdated.observe(List.of(row(OWN, ownVersion), row(OTHER, otherVersion)));
    }

    @Test
    void rowThatStaysTheSameDuringManyOwnBeatsIsOutdated() {
        observe(5, 9);

        assertThat(observe(5 + OUTDATED_BEATS - 1, 9), is(empty()));
        assertThat(observe(5 + OUTDATED_BEATS, 9), contains(row(OTHER, 9)));
    }

    @Test
    void rowThatChangesIsNeverOutdated() {
        List<Row> found = new ArrayList<>();
        for (long beat = 1; beat < 3 * OUTDATED_BEATS; beat += OUTDATED_BEATS - 1) {
            found.addAll(observe(beat, beat));
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
    void ownRowThatWasMissingBeginsAnew() {
        observe(5, 9);
        assertThat(outdated.observe(List.of(row(OTHER, 9))), is(empty()));

        assertThat(observe(5 + OUTDATED_BEATS, 9), is(empty()));
        assertThat(observe(1, 9), is(empty()));
        assertThat(observe(OUTDATED_BEATS, 9), is(empty()));
    }
}
