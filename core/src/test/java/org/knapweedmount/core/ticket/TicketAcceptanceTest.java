package org.knapweedmount.core.ticket;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.metric.Invariants;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TicketAcceptanceTest {
    private static final TicketStep READ = new TicketStep.Read();
    private static final TicketAnswer ACCEPTED = new TicketAnswer.Accepted();
    private static final TicketAnswer NOT_ACCEPTED = new TicketAnswer.NotAccepted();
    private static final TicketAnswer UNKNOWN = new TicketAnswer.Unknown();

    private final TicketAcceptance acceptance = new TicketAcceptance(ticket("a"), Invariants.fatal());

    @Test
    void higherNumberIsWrittenOnConditionOfTheHead() {
        assertThat(absent(6, 3), is(new TicketStep.Write(3)));
        assertThat(acceptance.afterWrite(WriteResult.COMMITTED), is(done(ACCEPTED)));
    }

    @Test
    void repeatedTicketIsReportedAsAlreadyAccepted() {
        assertThat(present("a", 9), is(done(new TicketAnswer.AlreadyAccepted())));
    }

    @Test
    void sameNumberWithOtherContentIsRefused() {
        assertRefused(present("b", 9), 9);
    }

    @Test
    void numberThatIsNotHigherIsRefusedWithTheHighest() {
        assertRefused(absent(7, 3), 7);
    }

    @Test
    void conflictLeadsToAnotherRead() {
        absent(6, 3);

        assertThat(acceptance.afterWrite(WriteResult.CONFLICT), is(READ));
        assertRefused(absent(8, 4), 8);
    }

    @Test
    void writeAfterAConflictIsAccepted() {
        absent(5, 3);
        acceptance.afterWrite(WriteResult.CONFLICT);

        assertThat(absent(6, 4), is(new TicketStep.Write(4)));
        assertThat(acceptance.afterWrite(WriteResult.COMMITTED), is(done(ACCEPTED)));
    }

    @Test
    void nothingIsWrittenWhileTheServiceIsUnavailable() {
        assertThat(acceptance.afterRead(Optional.empty()), is(done(NOT_ACCEPTED)));
    }

    @Test
    void unavailableServiceMeansNotAccepted() {
        absent(6, 3);

        assertThat(acceptance.afterWrite(WriteResult.UNAVAILABLE), is(done(NOT_ACCEPTED)));
    }

    @Test
    void lostResponseIsResolvedByARead() {
        absent(6, 3);

        assertThat(acceptance.afterWrite(WriteResult.UNKNOWN), is(READ));
        assertThat(present("a", 7), is(done(ACCEPTED)));
    }

    @Test
    void lostResponseWithoutAReadIsUnknown() {
        absent(6, 3);
        acceptance.afterWrite(WriteResult.UNKNOWN);

        assertThat(acceptance.afterRead(Optional.empty()), is(done(UNKNOWN)));
    }

    @Test
    void writeThatMayStillTakeEffectIsRepeatedOnTheSameCondition() {
        absent(6, 3);
        acceptance.afterWrite(WriteResult.UNKNOWN);

        assertThat(absent(6, 3), is(new TicketStep.Write(3)));
        assertThat(acceptance.afterWrite(WriteResult.CONFLICT), is(READ));
        assertThat(present("a", 7), is(done(ACCEPTED)));
    }

    @Test
    void writeThatMayStillTakeEffectIsNeverReportedAsNotAccepted() {
        absent(6, 3);
        acceptance.afterWrite(WriteResult.UNKNOWN);
        absent(6, 3);

        assertThat(acceptance.afterWrite(WriteResult.UNAVAILABLE), is(READ));
        assertThat(acceptance.afterRead(Optional.empty()), is(done(UNKNOWN)));
    }

    @Test
    void writeOnAnOutdatedHeadVersionCannotTakeEffect() {
        absent(5, 3);
        acceptance.afterWrite(WriteResult.UNKNOWN);

        absent(6, 4);

        assertThat(acceptance.afterWrite(WriteResult.UNAVAILABLE), is(done(NOT_ACCEPTED)));
    }

    @Test
    void ticketIsNotAcceptedAfterRepeatedConflicts() {
        TicketStep step = READ;
        for (int version = 1; version < 100 && !(step instanceof TicketStep.Done); version++) {
            step = absent(5, version);
            if (step instanceof TicketStep.Write) {
                step = acceptance.afterWrite(WriteResult.CONFLICT);
            }
        }

        assertThat(step, is(done(NOT_ACCEPTED)));
    }

    @Test
    void inconsistentTicketIsNotWritten() {
        absent(6, 3);

        TicketStep step = acceptance.validationFailed(List.of("no such service"));

        assertThat(step, is(done(new TicketAnswer.Invalid(List.of("no such service")))));
        assertThat(acceptance.state(), is(TicketState.INVALID));
    }

    @Test
    void ticketInDoubtIsReadAgainEvenIfItIsInconsistent() {
        absent(6, 3);
        acceptance.afterWrite(WriteResult.UNKNOWN);
        absent(6, 3);

        assertThat(acceptance.validationFailed(List.of("no such service")), is(READ));
        assertThat(present("a", 8), is(done(ACCEPTED)));
    }

    @Test
    void acceptedTicketIsInForceOnceItIsApplied() {
        present("a", 9);
        assertThat(acceptance.state(), is(TicketState.ACCEPTED));

        acceptance.applied();

        assertThat(acceptance.state(), is(TicketState.IN_FORCE));
    }

    @Test
    void refusedTicketIsNeverApplied() {
        present("b", 9);

        assertThrows(AssertionError.class, acceptance::applied);
        assertThat(acceptance.state(), is(TicketState.REFUSED));
    }

    private TicketStep absent(long headNumber, long headVersion) {
        return acceptance.afterRead(Optional.of(new TicketView(headNumber, headVersion, Optional.empty())));
    }

    private TicketStep present(String name, long headNumber) {
        return acceptance.afterRead(Optional.of(new TicketView(headNumber, 9, Optional.of(ticket(name)))));
    }

    private static void assertRefused(TicketStep step, long highest) {
        assertThat(step, is(instanceOf(TicketStep.Done.class)));
        TicketAnswer answer = ((TicketStep.Done) step).answer();
        assertThat(answer, is(instanceOf(TicketAnswer.Refused.class)));
        assertThat(((TicketAnswer.Refused) answer).highest(), is(highest));
    }

    private static TicketStep done(TicketAnswer answer) {
        return new TicketStep.Done(answer);
    }

    private static Ticket ticket(String name) {
        return new Ticket(7, "ana", List.of(new DrainConfig(name)));
    }
}
