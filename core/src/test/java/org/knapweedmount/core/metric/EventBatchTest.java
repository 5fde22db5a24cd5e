package org.knapweedmount.core.metric;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class EventBatchTest {
    private final List<String> lines = new ArrayList<>();
    private final EventBatch batch = new EventBatch("runs", (event, line) -> lines.add(event + " " + line));

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void itemsWithTheSameDetailShareAGroup() {
        batch.add("entry=a", "runs", "x#1", millisToNanos(5));
        batch.add("entry=b", "runs", "y#1", millisToNanos(5));
        batch.add("entry=a", "runs", "z#1", millisToNanos(5));
        batch.flush(millisToNanos(5));

        assertThat(lines, contains("runs ago=0 entry=a runs=[x#1, z#1]; ago=0 entry=b runs=[y#1]"));
    }

    @Test
    void itemsAfterALineWaitForTheNextLineWithTheirAge() {
        batch.add("entry=a", "runs", "x#1", millisToNanos(0));
        batch.flush(millisToNanos(0));
        batch.add("entry=a", "runs", "y#1", millisToNanos(10));
        batch.flush(millisToNanos(10));
        batch.add("entry=a", "runs", "z#1", millisToNanos(20));
        batch.flush(millisToNanos(40));

        assertThat(
                lines,
                contains("runs ago=0 entry=a runs=[x#1]", "runs ago=30 entry=a runs=[y#1]; ago=20 entry=a runs=[z#1]"));
    }

    @Test
    void writesNoLineWithoutItems() {
        batch.flush(millisToNanos(0));

        assertThat(lines, empty());
    }

    @Test
    void linesOfOneSecondStayWithinTheRateLimitOfTheLog() {
        for (int millis = 0; millis < 1_000; millis++) {
            batch.add("entry=a", "runs", "x#" + millis, millisToNanos(millis));
            batch.flush(millisToNanos(millis));
        }

        assertThat(lines.size(), lessThanOrEqualTo(40));
    }
}
