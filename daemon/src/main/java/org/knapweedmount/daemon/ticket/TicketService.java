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
 * Accepts operators' tickets, reads those that other entries accepted, and hands all of them on.
 *
 * <p>Any thread may call it; the work is done on the context of the store, and results arrive there.
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
     * Creates a service that knows no ticket.
     *
     * @param context the context of the store
     * @param tables the table service
     * @param entry the name of this entry
     * @param wallClock gives the present time in the form of ISO 8601, for the audit trail alone
     * @param audit notes what was accepted and refused
     * @param sink puts tickets in force and passes them on
     * @param invariants checks of the program itself
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
     * Reads the tickets now, and from time to time the ones that are new.
     *
     * @return true if the table service could be read now
     */
    public Future<Boolean> start() {
        return onContext(ignored -> {
            timer = context.owner().setPeriodic(POLL_INTERVAL_MILLIS, fired -> sync.sync());
            return initialSync(MAX_INITIAL_READS);
        });
    }

    /** Reads the tickets, again if the first reads of a process that has just begun take too long. */
    private Future<Boolean> initialSync(int attemptsLeft) {
        return sync.sync()
                .compose(read ->
                        read || attemptsLeft == 1 ? Future.succeededFuture(read) : initialSync(attemptsLeft - 1));
    }

    /**
     * Tells whether this process has been told a configuration.
     *
     * @return true once the table service was read or a peer has sent tickets
     */
    public boolean isLoaded() {
        return sync.isLoaded();
    }

    /** Stops to read tickets. */
    public void stop() {
        context.runOnContext(ignored -> context.owner().cancelTimer(timer));
    }

    /**
     * Takes tickets from a peer.
     *
     * @param from the peer
     * @param tickets accepted tickets
     */
    public void ticketsReceived(Incarnation from, List<Ticket> tickets) {
        context.runOnContext(ignored -> sync.received(from, tickets));
    }

    /**
     * Takes an operator's ticket; tickets at one entry are decided one after the other.
     *
     * @param ticket the ticket
     * @param token the name of the token that the operator showed
     * @return what the operator is told; never fails
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
        Logger.error(cause, "a ticket could not be decided");
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
     * @return what was read of the ticket's row
     */
    public Future<ReadResult> ticket(long number) {
        return tables.read(TicketRows.ticket(number));
    }

    /**
     * Reads the newest accepted tickets.
     *
     * @param limit the greatest number of tickets
     * @return their rows, the newest first
     */
    public Future<ListResult> tickets(int limit) {
        return newestRows(TicketRows.TICKETS, limit);
    }

    /**
     * Reads the newest records of the audit trail.
     *
     * @param limit the greatest number of records
     * @return their rows, the newest first
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
