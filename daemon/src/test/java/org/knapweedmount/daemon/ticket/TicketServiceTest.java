package org.knapweedmount.daemon.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.core.ticket.AuditEntry;
import org.knapweedmount.core.ticket.TicketAnswer;
import org.knapweedmount.daemon.store.InMemoryTableService;
import org.knapweedmount.daemon.store.InMemoryTableService.Mode;
import org.knapweedmount.daemon.store.Row;
import org.knapweedmount.daemon.store.Transaction;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

class TicketServiceTest {
    private static final TicketAnswer ACCEPTED = new TicketAnswer.Accepted();

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final InMemoryTableService tables = new InMemoryTableService();
    private final Entry first = new Entry("entry-1");
    private final Entry second = new Entry("entry-2");

    /** An entry that applies tickets to its own configuration. */
    private final class Entry implements ConfigSink {
        private final ConfigState inForce = new ConfigState();
        private final List<Optional<Incarnation>> origins = new ArrayList<>();
        private final AuditLog audit = new AuditLog(10, () -> "now");
        private final TicketService service;

        Entry(String name) {
            service = new TicketService(context, tables, name, () -> "now", audit, this, Invariants.fatal());
        }

        @Override
        public void changed(List<Ticket> tickets, Optional<Incarnation> from) {
            tickets.forEach(inForce::apply);
            origins.add(from);
        }

        TicketAnswer accept(Ticket ticket) throws Exception {
            return await(service.accept(ticket, "night-shift"));
        }

        Optional<Double> quota() {
            return inForce.team("north").map(TeamConfig::quotaShare);
        }
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    @Test
    void acceptedTicketIsAppliedHereAndAtAPollingEntry() throws Exception {
        assertThat(first.accept(ticket(3, 0.5)), is(ACCEPTED));
        assertThat(first.quota(), is(Optional.of(0.5)));

        assertThat(await(second.service.start()), is(true));
        assertThat(second.quota(), is(Optional.of(0.5)));
        assertThat(first.accept(ticket(5, 0.7)), is(ACCEPTED));
        await(second.service.start());
        assertThat(second.quota(), is(Optional.of(0.7)));
    }

    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, false"})
    void startRetriesBeforeItReportsTheServiceUnavailable(int failingReads, boolean read) throws Exception {
        first.accept(ticket(3, 0.5));
        tables.failNextReads(failingReads);

        assertThat(await(second.service.start()), is(read));
        assertThat(second.quota(), is(read ? Optional.of(0.5) : Optional.empty()));
    }

    @Test
    void lowerNumberIsRefusedAtAnyEntry() throws Exception {
        first.accept(ticket(5, 0.5));

        assertThat(second.accept(ticket(4, 0.1)), is(instanceOf(TicketAnswer.Refused.class)));
        assertThat(first.accept(ticket(5, 0.1)), is(instanceOf(TicketAnswer.Refused.class)));
        assertThat(second.accept(ticket(5, 0.5)), is(new TicketAnswer.AlreadyAccepted()));
        assertThat(first.quota(), is(Optional.of(0.5)));
    }

    @Test
    void conflictingTicketIsDecidedAgain() throws Exception {
        tables.beforeNextTransaction(() -> tables.execute(TicketRows.acceptance(ticket(9, 0.9), 0, audit(9))));

        assertThat(first.accept(ticket(6, 0.6)), is(instanceOf(TicketAnswer.Refused.class)));

        tables.beforeNextTransaction(() -> tables.execute(TicketRows.acceptance(ticket(10, 0.1), 1, audit(10))));
        assertThat(first.accept(ticket(12, 0.2)), is(ACCEPTED));
        assertThat(first.quota(), is(Optional.of(0.2)));
    }

    @Test
    void lostAnswersAreResolvedByReading() throws Exception {
        tables.mode(Mode.UP, Mode.LOSE_ANSWERS);

        assertThat(first.accept(ticket(1, 0.5)), is(ACCEPTED));
        assertThat(first.quota(), is(Optional.of(0.5)));
    }

    @Test
    void lostAnswerThatCannotBeReadBackIsUnknownAndAppliedLater() throws Exception {
        tables.mode(Mode.UP, Mode.LOSE_ANSWERS);
        tables.beforeNextTransaction(() -> tables.mode(Mode.DOWN, Mode.LOSE_ANSWERS));

        assertThat(first.accept(ticket(1, 0.5)), is(new TicketAnswer.Unknown()));
        tables.mode(Mode.UP, Mode.UP);
        await(first.service.start());

        assertThat(first.quota(), is(Optional.of(0.5)));
        assertThat(first.accept(ticket(1, 0.5)), is(new TicketAnswer.AlreadyAccepted()));
    }

    @Test
    void nothingIsAcceptedDuringAnOutageButTicketsOfPeersApply() throws Exception {
        tables.mode(Mode.DOWN, Mode.DOWN);
        Incarnation peer = new Incarnation("entry-2", 1);

        assertThat(first.accept(ticket(1, 0.5)), is(new TicketAnswer.NotAccepted()));
        first.service.ticketsReceived(peer, List.of(ticket(4, 0.4)));
        assertThat(await(first.service.start()), is(false));

        assertThat(first.quota(), is(Optional.of(0.4)));
        assertThat(first.origins, contains(Optional.of(peer)));
    }

    @Test
    void ticketMissedBetweenTwoThatPeersSentIsRead() throws Exception {
        await(first.service.start());
        second.accept(ticket(1, 0.5));
        second.accept(new Ticket(2, "ana", List.of(new TeamConfig("south", 1, 0.2))));
        second.accept(ticket(3, 0.6));
        first.service.ticketsReceived(new Incarnation("entry-2", 1), List.of(ticket(3, 0.6)));

        await(first.service.start());

        assertThat(first.inForce.team("south").map(TeamConfig::quotaShare), is(Optional.of(0.2)));
        assertThat(first.quota(), is(Optional.of(0.6)));
    }

    @Test
    void newProcessLoadsTheStateFromTheObjectsAlone() throws Exception {
        first.accept(ticket(1, 0.5));
        first.accept(ticket(2, 0.6));
        tables.execute(Transaction.EMPTY.delete(TicketRows.ticket(1)).delete(TicketRows.ticket(2)));

        await(second.service.start());

        assertThat(second.quota(), is(Optional.of(0.6)));
        assertThat(second.inForce.highestNumber(), is(2L));
    }

    @Test
    void inconsistentTicketIsRefusedWithItsProblems() throws Exception {
        KindConfig kind = new KindConfig("check", "dues", true, true, 1, 80, 500, Resources.NONE);

        TicketAnswer answer = first.accept(new Ticket(1, "ana", List.of(kind)));

        assertThat(answer, is(new TicketAnswer.Invalid(List.of("kind check: there would be no service dues"))));
        assertThat(tables.transactions(), is(0));
    }

    @Test
    void newestTicketsComeFirstWithDistantNumbers() throws Exception {
        for (long number : List.of(1L, 2L, 500L, 20_261_204_000_000L, 999_999_999_999_999_999L)) {
            first.accept(ticket(number, 0.5));
        }

        assertThat(numbers(3), contains(999_999_999_999_999_999L, 20_261_204_000_000L, 500L));
        assertThat(numbers(9), contains(999_999_999_999_999_999L, 20_261_204_000_000L, 500L, 2L, 1L));
        Row audit = await(first.service.auditTrail(1)).rows().get(0);
        assertThat(audit.value().path("token").asText(), is("night-shift"));
        assertThat(
                audit.value()
                        .path("changes")
                        .get(0)
                        .path("before")
                        .path("quotaShare")
                        .asDouble(),
                is(0.5));
    }

    private List<Long> numbers(int limit) throws Exception {
        return await(first.service.tickets(limit)).rows().stream()
                .map(row -> row.value().path("number").asLong())
                .toList();
    }

    private static AuditEntry audit(long number) {
        return AuditEntry.of(ticket(number, 0.9), new ConfigState(), "token", "entry-9", "now");
    }

    private static Ticket ticket(long number, double quotaShare) {
        return new Ticket(number, "ana", List.of(new TeamConfig("north", 1, quotaShare)));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
