package org.knapweedmount.daemon.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.vertx.core.Future;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.daemon.store.ReadResult;
import org.knapweedmount.daemon.store.Row;
import org.knapweedmount.daemon.store.TableService;

/**
 * Synchronizes a copy of the configuration with the table service and with tickets from peers.
 *
 * <p>A peer may send a ticket before an earlier one, so the highest number seen does not imply that all lower tickets
 * are known. The number up to which all tickets were read from the table service is kept separately.
 *
 * <p>Must be used on the context of the store.
 */
final class TicketSync {
    private final TableService tables;
    private final ConfigSink sink;
    private final ConfigState config = new ConfigState();
    private long completeNumber;
    private volatile boolean loaded;
    private Optional<Future<Boolean>> runningSync = Optional.empty();

    TicketSync(TableService tables, ConfigSink sink) {
        this.tables = tables;
        this.sink = sink;
    }

    /** Returns the configuration, which callers must not change. */
    ConfigState config() {
        return config;
    }

    /** Returns whether a configuration was received from the table service or a peer. Thread-safe. */
    boolean isLoaded() {
        return loaded;
    }

    /** Returns whether every ticket up to a number is known. */
    boolean isCompleteUpTo(long number) {
        return completeNumber >= number;
    }

    /**
     * Reads the tickets that this process lacks; a call joins a synchronization that is in progress.
     *
     * @return true if the table service could be read
     */
    Future<Boolean> sync() {
        if (runningSync.isPresent()) {
            return runningSync.get();
        }
        Future<Boolean> started = tables.read(TicketRows.HEAD).compose(this::headRead);
        if (started.isComplete()) {
            return started;
        }
        runningSync = Optional.of(started);
        return started.onComplete(ended -> runningSync = Optional.empty());
    }

    private Future<Boolean> headRead(ReadResult head) {
        if (!head.answered()) {
            return Future.succeededFuture(false);
        }
        long number = TicketRows.headNumber(head.row());
        if (isCompleteUpTo(number)) {
            loaded = true;
            return Future.succeededFuture(true);
        }
        return completeNumber == 0
                ? load(TicketRows.OBJECTS, "", TicketRows::object, number)
                : load(TicketRows.TICKETS, TicketRows.key(completeNumber), TicketRows::ticket, number);
    }

    private Future<Boolean> load(String table, String after, Function<Row, Optional<Ticket>> reader, long number) {
        return tables.listAll(table, after).map(list -> {
            if (!list.answered()) {
                return false;
            }
            List<Ticket> tickets = list.rows().stream()
                    .flatMap(row -> reader.apply(row).stream())
                    .toList();
            apply(tickets, Optional.empty());
            completeNumber = Math.max(completeNumber, number);
            loaded = true;
            return true;
        });
    }

    /** Applies tickets from a peer. */
    void received(Incarnation from, List<Ticket> tickets) {
        apply(tickets, Optional.of(from));
        loaded |= !tickets.isEmpty();
    }

    /** Applies a ticket that this process has accepted; the given number was the highest before. */
    void accepted(Ticket ticket, long headNumber) {
        apply(List.of(ticket), Optional.empty());
        if (isCompleteUpTo(headNumber)) {
            completeNumber = Math.max(completeNumber, ticket.number());
        }
    }

    private void apply(List<Ticket> tickets, Optional<Incarnation> from) {
        List<Ticket> changing = new ArrayList<>();
        for (Ticket ticket : tickets) {
            if (!config.apply(ticket).isEmpty()) {
                changing.add(ticket);
            }
        }
        if (!changing.isEmpty()) {
            sink.changed(changing, from);
        }
    }
}
