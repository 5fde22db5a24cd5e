package org.knapweedmount.core.cost;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.KindInterference;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

class InterferenceTableTest {
    private static KindInterference pair(String kind, String neighbour, int percent, int samples) {
        return new KindInterference(kind, neighbour, percent, samples, 0, 0);
    }

    /** Guards against one agent with few observations that outweighs the others. */
    @Test
    void reportsOfAgentsAreWeightedByTheirSamples() {
        InterferenceTable table = InterferenceTable.of(
                List.of(pair("a", "b", 150, 900), pair("a", "b", 400, 1), pair("a", "b", 150, 900)));

        assertThat(table.slowdown("a", "b"), is(closeTo(1.5, 0.01)));
        assertThat(table.slowdown("b", "a"), is(1.0));
    }

    /** Guards against memory that grows with the number of queues. */
    @Test
    void pairsWithTheFewestSamplesAreLeftOutBeyondTheCap() {
        List<KindInterference> pairs = IntStream.rangeClosed(0, InterferenceTable.MAX_PAIRS)
                .mapToObj(number -> pair("kind-" + number, "b", 200, 100 + number))
                .toList();

        InterferenceTable table = InterferenceTable.of(pairs);

        assertThat(table.slowdown("kind-0", "b"), is(1.0));
        assertThat(table.slowdown("kind-1", "b"), is(closeTo(2, 1e-9)));
    }

    @Test
    void tableWithoutReportsIsEmpty() {
        assertThat(InterferenceTable.of(List.of()).isEmpty(), is(true));
    }
}
