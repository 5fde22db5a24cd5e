package org.knapweedmount.standins.platform;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class TableStoreTest {
    private final TableStore store = new TableStore();

    @Test
    void aRowsVersionIsTheNumberOfItsWrites() {
        write("a", 10);
        write("a", 20);
        assertThat(store.row("t", "a"), is(Optional.of(new Row("a", 2, value(20)))));
    }

    @Test
    void aRowThatWasNeverWrittenIsMissing() {
        assertThat(store.row("t", "a"), is(Optional.empty()));
    }

    @Test
    void versionZeroHoldsOnlyWithoutTheRow() {
        Transaction create = new Transaction(List.of(new Condition("t", "a", 0)), List.of(put("a", 1)));
        assertThat(store.commit(create), is(empty()));
        assertThat(store.commit(create), contains(new Condition("t", "a", 0)));
    }

    @Test
    void oneFailedConditionPreventsAllWrites() {
        write("a", 1);
        Transaction transaction = new Transaction(
                List.of(new Condition("t", "a", 1), new Condition("t", "b", 1)), List.of(put("a", 2), put("c", 2)));
        assertThat(store.commit(transaction), contains(new Condition("t", "b", 1)));
        assertThat(store.row("t", "a").map(Row::version), is(Optional.of(1L)));
        assertThat(store.row("t", "c"), is(Optional.empty()));
    }

    @Test
    void conditionsMayNameOtherTables() {
        write("a", 1);
        Transaction transaction =
                new Transaction(List.of(new Condition("t", "a", 1)), List.of(new Write("u", "a", value(5))));
        assertThat(store.commit(transaction), is(empty()));
        assertThat(store.row("u", "a").map(Row::version), is(Optional.of(1L)));
    }

    @Test
    void nullDeletesTheRow() {
        write("a", 1);
        store.commit(new Transaction(List.of(), List.of(new Write("t", "a", JsonNodeFactory.instance.nullNode()))));
        assertThat(store.row("t", "a"), is(Optional.empty()));
    }

    @Test
    void rowsAreListedByKeyWithinThePrefix() {
        List.of("x/2", "y/1", "x/1", "w/9").forEach(key -> write(key, 0));
        assertThat(keys("x/", "", 10), contains("x/1", "x/2"));
        assertThat(keys("", "x/1", 10), contains("x/2", "y/1"));
        assertThat(keys("x/", "x/1", 10), contains("x/2"));
        assertThat(keys("x/", "a", 1), contains("x/1"));
        assertThat(keys("x/", "y", 10), is(empty()));
    }

    private List<String> keys(String prefix, String after, int limit) {
        return store.rows("t", prefix, after, limit).stream().map(Row::key).toList();
    }

    private void write(String key, int number) {
        store.commit(new Transaction(List.of(), List.of(put(key, number))));
    }

    private static Write put(String key, int number) {
        return new Write("t", key, value(number));
    }

    private static JsonNode value(int number) {
        return JsonNodeFactory.instance.objectNode().put("n", number);
    }
}
