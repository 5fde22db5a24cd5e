package org.knapweedmount.daemon.ticket;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.core.ticket.TicketAnswer;
import org.knapweedmount.daemon.store.ListResult;
import org.knapweedmount.daemon.store.ReadResult;
import org.knapweedmount.daemon.store.TableService;
import org.tinylog.Logger;

/**
 * Accepts operators' tickets, reads tickets that other entries accepted, and passes all of them to the sink.
 *
 * <p>Thread-safe; runs on the context of the store, and results arrive there.
 */
public final class TicketService {
    private static final int POLL_INTERVAL_MILLIS = 1_000;
    private static final int MAX_INITIAL_READS = 3;
    private static final int MAX_WAITING_TICKETS = 100;

    private final Context context;
    private final TableService tables;
    private final String entry;
    private final Supplier<String> wallClock;
    private final AuditLog audit;
    private final Invariants invariants;
    private final TicketSync sync;
    private Future<TicketAnswer> lastAcceptance = Future.succeededFuture(new TicketAnswer.NotAccepted());
    private int waitingTickets;
    private long timer;

    /**
     * Creates a service without reading tickets.
     *
     * @param context the context on which the store runs
     * @param tables the table service
     * @param entry the name of this entry
     * @param wallClock returns the current time in ISO 8601 format, for the audit trail only
     * @param audit records accepted and refused tickets
     * @param sink applies tickets and forwards them
     * @param invariants checks the internal invariants
     */
    public TicketService(
            Context context,
            TableService tables,
            String entry,
            Supplier<String> wallClock,
            AuditLog audit,
            ConfigSink sink,
            Invariants invariants) {
        this.context = context;
        this.tables = tables;
        this.entry = entry;
        this.wallClock = wallClock;
        this.audit = audit;
        this.invariants = invariants;
        this.sync = new TicketSync(tables, sink);
    }

    /**
     * Reads the tickets now and polls for new ones periodically.
     *
     * @return true if the first read succeeded
     */
    public Future<Boolean> start() {
        return onContext(ignored -> {
            timer = context.owner().setPeriodic(POLL_INTERVAL_MILLIS, fired -> sync.sync());
            return initialSync(MAX_INITIAL_READS);
        });
    }

    /** Reads the tickets and retries, because the first reads of a newly started process may time out. */
    private Future<Boolean> initialSync(int attemptsLeft) {
        return sync.sync()
                .compose(read ->
                        read || attemptsLeft == 1 ? Future.succeededFuture(read) : initialSync(attemptsLeft - 1));
    }

    /**
     * Returns whether this process has received a configuration.
     *
     * @return true once the table service was read or a peer has sent tickets
     */
    public boolean isLoaded() {
        return sync.isLoaded();
    }

    /** Stops polling for tickets. */
    public void stop() {
        context.runOnContext(ignored -> context.owner().cancelTimer(timer));
    }

    /**
     * Applies tickets from a peer.
     *
     * @param from the peer
     * @param tickets accepted tickets
     */
    public void ticketsReceived(Incarnation from, List<Ticket> tickets) {
        context.runOnContext(ignored -> sync.received(from, tickets));
    }

    /**
     * Accepts or refuses an operator's ticket; tickets at one entry are processed sequentially.
     *
     * @param ticket the ticket
     * @param token the name of the token that the operator presented
     * @return the answer for the operator; never fails
     */
    public Future<TicketAnswer> accept(Ticket ticket, String token) {
        return onContext(ignored -> {
            if (waitingTickets >= MAX_WAITING_TICKETS) {
                return Future.succeededFuture(new TicketAnswer.NotAccepted());
            }
            waitingTickets++;
            TicketOrigin origin = new TicketOrigin(token, entry, wallClock.get());
            Future<TicketAnswer> run = lastAcceptance
                    .compose(done -> new TicketAcceptor(tables, sync, ticket, origin, invariants).accept())
                    .recover(TicketService::failure);
            lastAcceptance = run;
            return run.onComplete(ended -> waitingTickets--).onSuccess(answer -> recordInAudit(ticket, token, answer));
        });
    }

    private static Future<TicketAnswer> failure(Throwable cause) {
        Logger.error(cause, "unexpected error while accepting a ticket");
        return Future.succeededFuture(new TicketAnswer.Unknown());
    }

    private void recordInAudit(Ticket ticket, String token, TicketAnswer answer) {
        String who = ticket.author() + "/" + token;
        if (answer instanceof TicketAnswer.Accepted || answer instanceof TicketAnswer.AlreadyAccepted) {
            String keys = String.join(
                    " ",
                    ticket.objects().stream()
                            .map(object -> object.key())
                            .map(ConfigKey::toString)
                            .toList());
            audit.add(AuditAction.ACCEPTED, ticket.number(), who, keys);
        } else if (answer instanceof TicketAnswer.Unknown) {
            audit.add(AuditAction.UNKNOWN, ticket.number(), who, "the answer of the table service was lost");
        } else {
            audit.add(AuditAction.REFUSED, ticket.number(), who, answer.toString());
        }
    }

    /**
     * Reads an accepted ticket.
     *
     * @param number the ticket's number
     * @return the result of reading the ticket's row
     */
    public Future<ReadResult> ticket(long number) {
        return tables.read(TicketRows.ticket(number));
    }

    /**
     * Reads the newest accepted tickets.
     *
     * @param limit the maximum number of tickets
     * @return their rows, newest first
     */
    public Future<ListResult> tickets(int limit) {
        return newestRows(TicketRows.TICKETS, limit);
    }

    /**
     * Reads the newest records of the audit trail.
     *
     * @param limit the maximum number of records
     * @return their rows, newest first
     */
    public Future<ListResult> auditTrail(int limit) {
        return newestRows(TicketRows.AUDIT, limit);
    }

    private Future<ListResult> newestRows(String table, int limit) {
        return tables.read(TicketRows.HEAD).compose(head -> {
            if (!head.answered()) {
                return Future.succeededFuture(ListResult.UNAVAILABLE);
            }
            long highest = TicketRows.headNumber(head.row());
            return new NewestRowsReader(tables, table, highest, limit).read();
        });
    }

    private <T> Future<T> onContext(Function<Void, Future<T>> action) {
        Promise<T> promise = Promise.promise();
        context.runOnContext(ignored -> action.apply(null).onComplete(promise));
        return promise.future();
    }
}
