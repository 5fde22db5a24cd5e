package org.knapweedmount.standins.soak;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class PlannedStopsTest {
    private static final String ENTRY = "entry-1";
    private static final PlannedStops.End CLOSED = new PlannedStops.End.Closed();
    private static final PlannedStops.End GIVEN_UP = new PlannedStops.End.Answered(504);

    private final PlannedStops stops = new PlannedStops();

    private boolean isLost(long sentMillis, PlannedStops.End end, long millis) {
        return stops.check(new PlannedStops.Request("job", ENTRY, sentMillis), end, millis)
                .map(Violation::rule)
                .equals(Optional.of(Violation.Rule.LOST));
    }

    @Test
    void aConnectionThatEndsWithoutAnAnswerDuringAStopIsALossAfterTheSlack() {
        stops.signalled(ENTRY, 1_000);

        assertThat(isLost(1_500, CLOSED, 1_700), is(false));
        assertThat(isLost(1_500, CLOSED, 1_701), is(true));
        assertThat(isLost(500, CLOSED, 1_701), is(true));
    }

    @Test
    void aRequestThatIsSentLongAfterTheSignalAndGivenUpIsALoss() {
        stops.signalled(ENTRY, 1_000);

        assertThat(isLost(4_000, GIVEN_UP, 6_000), is(false));
        assertThat(isLost(4_001, GIVEN_UP, 6_000), is(true));
        assertThat(isLost(4_001, new PlannedStops.End.Answered(503), 6_000), is(false));
    }

    /** An entry that does not know yet whether another one runs the job cannot say that it was not run. */
    @Test
    void aRequestThatIsNotTakenAtOnceIsNoLossThoughItsJobMayRunElsewhere() {
        stops.signalled(ENTRY, 1_000);

        assertThat(isLost(5_663, GIVEN_UP, 5_863), is(false));
        assertThat(isLost(5_663, GIVEN_UP, 5_864), is(true));
    }

    /** A suspended process can answer nothing; it has the same time for its answer when it goes on. */
    @Test
    void theTimeDuringWhichAnEntryIsSuspendedDoesNotCount() {
        stops.signalled(ENTRY, 1_000);
        stops.paused(ENTRY, 5_000);
        stops.resumed(ENTRY, 5_429);

        assertThat(isLost(5_050, GIVEN_UP, 5_629), is(false));
        assertThat(isLost(5_050, GIVEN_UP, 5_630), is(true));
        assertThat(isLost(4_990, CLOSED, 5_619), is(false));
        assertThat(isLost(4_990, CLOSED, 5_620), is(true));
        assertThat(isLost(5_430, CLOSED, 5_631), is(true));
    }

    @Test
    void nothingIsLostByAnEntryThatIsNotStopping() {
        assertThat(isLost(0, CLOSED, 5_000), is(false));
        stops.signalled(ENTRY, 1_000);
        stops.started(ENTRY);
        assertThat(isLost(0, CLOSED, 5_000), is(false));
    }

    @Test
    void aCallerThatLeavesIsNoLoss() {
        stops.signalled(ENTRY, 1_000);

        assertThat(isLost(1_500, new PlannedStops.End.Left(), 5_000), is(false));
    }
}
