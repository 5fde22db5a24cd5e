package org.knapweedmount.core.event;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class PriorityEventsTest {
    private final PriorityEvents<String> events = new PriorityEvents<>();

    @Test
    void eventsAreOrderedByPriorityAndThenByArrival() {
        events.add(EventPriority.CALLER, "request 1");
        events.add(EventPriority.AGENT, "report 1");
        events.add(EventPriority.CALLER, "request 2");
        events.add(EventPriority.ENTRY, "probe");
        events.add(EventPriority.AGENT, "report 2");

        List<String> order = new ArrayList<>();
        for (Optional<String> next = events.poll(); next.isPresent(); next = events.poll()) {
            order.add(next.get());
        }
        assertThat(order, contains("probe", "report 1", "report 2", "request 1", "request 2"));
        assertThat(events.isEmpty(), is(true));
    }
}
