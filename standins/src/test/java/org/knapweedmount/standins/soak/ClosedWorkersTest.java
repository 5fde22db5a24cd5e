package org.knapweedmount.standins.soak;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ClosedWorkersTest {
    private static final int LIMIT = ClosedWorkers.EVACUATION_MILLIS;
    private static final List<String> CLOSED = List.of("10-0-0-1-", "10-0-0-2-");

    private final ClosedWorkers workers = new ClosedWorkers();

    private boolean isViolation(String worker, long millis) {
        return workers.started(worker, "job.0", millis).isPresent();
    }

    /** Guards against a check that overlooks starts in a closed data centre, or reports those elsewhere. */
    @Test
    void startsAreViolationsFromTheBoundOnUntilTheReopening() {
        workers.close(CLOSED, 100);

        assertThat(isViolation("10-0-0-2-a/5", 100 + LIMIT), is(false));
        assertThat(isViolation("10-0-0-2-a/5", 101 + LIMIT), is(true));
        assertThat(isViolation("10-0-0-22-a/5", 101 + LIMIT), is(false));

        workers.reopen(CLOSED);
        assertThat(workers.started("10-0-0-2-a/5", "job.0", 200 + LIMIT), is(Optional.empty()));
    }
}
