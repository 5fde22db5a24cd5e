package org.knapweedmount.core.evacuation;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.EvacuationNotice;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class DataCentreAccessTest {
    private static final Incarnation AGENT = new Incarnation("agent", 1);
    private static final ClosedDataCentres CLOSED = new ClosedDataCentres(5, Set.of("north"));

    private final DataCentreAccess access = new DataCentreAccess();

    @BeforeEach
    void linkAgent() {
        access.agentLinked(new PeerAddress(AGENT, Role.AGENT, "north", "127.0.0.1", 0));
    }

    private void apply(long version, String... names) {
        access.apply(new ClosedDataCentres(version, Set.of(names)), 0);
    }

    /** Guards against a slow read that closes a data centre again after its removal was learned from a peer. */
    @Test
    void olderStateDoesNotUndoAReopening() {
        apply(5, "north");
        apply(9);

        assertThat(access.apply(new ClosedDataCentres(7, Set.of("north")), 0), is(Optional.empty()));
        assertThat(access.isClosed(AGENT), is(false));
        assertThat(access.state().version(), is(9L));
    }

    /** Guards against a reopening by an entry that has not read the order yet. */
    @Test
    void olderStateDoesNotReopen() {
        apply(5, "north");
        apply(4);

        assertThat(access.isClosed(AGENT), is(true));
    }

    /** Guards against a version that stays behind, so that an outdated peer would prevail. */
    @Test
    void newerVersionWithoutAChangeIsKept() {
        apply(5, "north");

        assertThat(
                access.apply(new ClosedDataCentres(8, Set.of("north")), 0).map(DataCentreAccess.Change::isEmpty),
                is(Optional.of(true)));
        assertThat(access.state().version(), is(8L));
    }

    /** Guards against a fault in one data centre that an order for an unknown one would cause in others. */
    @Test
    void orderForADataCentreWithoutAgentsConcernsNoAgent() {
        apply(5, "nowhere");

        assertThat(access.isClosed(AGENT), is(false));
        assertThat(access.noticeFor(AGENT), is(Optional.empty()));
    }

    /** Guards against an agent that another entry's outdated notice keeps closed after the reopening. */
    @Test
    void agentIsToldOfItsReopeningOnEachLink() {
        apply(5, "north");
        assertThat(access.noticeFor(AGENT), is(Optional.of(new EvacuationNotice(5, true))));

        apply(6);
        assertThat(access.noticeFor(AGENT), is(Optional.of(new EvacuationNotice(6, false))));
    }

    @Test
    void entryThatMissedAChangeIsOutdated() {
        apply(5, "north");

        assertThat(access.isOutdated(new ClosedDataCentres(4, Set.of())), is(true));
        assertThat(access.isOutdated(new ClosedDataCentres(4, Set.of("north"))), is(false));
        assertThat(access.isOutdated(new ClosedDataCentres(6, Set.of())), is(false));
    }

    /** Guards against a rush of all queued work to cold workers after the reopening. */
    @ParameterizedTest
    @CsvSource({"0, 25", "1999, 25", "2000, 100", "60000, 100"})
    void reopenedCapacityIsAdmittedInSteps(long millisSinceReopening, int percent) {
        access.apply(CLOSED, 0);
        assertThat(access.admittedPercent(AGENT, 0), is(0));
        long reopened = TimeUnit.SECONDS.toNanos(7);
        access.apply(new ClosedDataCentres(6, Set.of()), reopened);

        assertThat(
                access.admittedPercent(AGENT, reopened + TimeUnit.MILLISECONDS.toNanos(millisSinceReopening)),
                is(percent));
    }

    /** Guards against steps that go on after the data centre was closed again. */
    @Test
    void dataCentreThatIsClosedDuringItsReopeningAdmitsNothing() {
        apply(5, "north");
        apply(6);
        apply(7, "north");

        assertThat(access.admittedPercent(AGENT, 1), is(0));
    }
}
