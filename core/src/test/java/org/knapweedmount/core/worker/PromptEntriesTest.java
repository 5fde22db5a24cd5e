package org.knapweedmount.core.worker;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

class PromptEntriesTest {
    private static final int WORKERS = 540;

    private static List<Incarnation> entries(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new Incarnation("edge-" + number, 31L * number))
                .toList();
    }

    @Test
    void allOfThreeEntriesAreTold() {
        assertThat(
                PromptEntries.choose(entries(3), "w"),
                containsInAnyOrder(entries(3).toArray()));
    }

    // An entry that few agents prefer would order by old reports, one that all prefer would hear from all.
    @Test
    void eachOfNineEntriesIsToldByAboutAThirdOfTheAgents() {
        Map<Incarnation, Integer> counts = new HashMap<>();
        for (int worker = 0; worker < WORKERS; worker++) {
            PromptEntries.choose(entries(9), "i-" + worker).forEach(entry -> counts.merge(entry, 1, Integer::sum));
        }

        assertThat(counts.values(), hasSize(9));
        assertThat(counts.values(), everyItem(allOf(greaterThan(WORKERS / 4), lessThan(WORKERS * 5 / 12))));
    }
}
