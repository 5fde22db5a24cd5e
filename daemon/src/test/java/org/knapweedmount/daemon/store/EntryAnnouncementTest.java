package org.knapweedmount.daemon.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.daemon.store.InMemoryTableService.Mode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EntryAnnouncementTest {
    private final Vertx vertx = Vertx.vertx();
    private final InMemoryTableService tables = new InMemoryTableService();

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void plannedStopDeletesTheRow() {
        EntryAnnouncement entry = announcement(1);
        entry.start();
        assertThat(announcedAddress(), is(Optional.of(address(1))));

        entry.stop();

        assertThat(announcedAddress(), is(Optional.empty()));
    }

    @Test
    void laterProcessReplacesTheRowAndKeepsIt() {
        EntryAnnouncement earlier = announcement(1);
        earlier.start();
        announcement(2).start();

        earlier.start();
        assertThat(announcedAddress(), is(Optional.of(address(2))));
        earlier.stop();
        assertThat(announcedAddress(), is(Optional.of(address(2))));
    }

    @Test
    void lostAnswerDoesNotStopTheHeartbeats() {
        Optional<Long> heartbeatCount = onEventLoop(() -> {
            EntryAnnouncement entry = announcement(1);
            tables.mode(Mode.UP, Mode.LOSE_ANSWERS);
            entry.start();
            tables.mode(Mode.UP, Mode.UP);

            entry.start();
            return row().flatMap(EntryRow::parse).map(EntryRow::heartbeatCount);
        });

        assertThat(heartbeatCount, is(Optional.of(2L)));
    }

    /** Runs steps on the event loop, so that no timer fires between them. */
    private <T> T onEventLoop(Supplier<T> steps) {
        return CompletableFuture.supplyAsync(steps, step -> vertx.runOnContext(ignored -> step.run()))
                .join();
    }

    @Test
    void heartbeatInFlightDoesNotRecreateTheRow() {
        EntryAnnouncement entry = announcement(1);
        entry.start();
        RowId rowId = EntryRow.rowId(address(1).incarnation());
        tables.beforeNextTransaction(() ->
                tables.execute(Transaction.EMPTY.require(rowId, 1).put(rowId, new EntryRow(address(1), 2).value())));

        entry.stop();

        assertThat(announcedAddress(), is(Optional.empty()));
    }

    private EntryAnnouncement announcement(long nonce) {
        return new EntryAnnouncement(vertx, tables, address(nonce));
    }

    private Optional<PeerAddress> announcedAddress() {
        return row().flatMap(EntryRow::parse).map(EntryRow::address);
    }

    private Optional<Row> row() {
        return tables.read(EntryRow.rowId(address(1).incarnation())).result().row();
    }

    private static PeerAddress address(long nonce) {
        return new PeerAddress(new Incarnation("entry-1", nonce), Role.ENTRY, "rennes", "127.0.0.1", 7101);
    }
}
