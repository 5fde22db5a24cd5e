package org.knapweedmount.daemon.ticket;

import java.util.List;
import java.util.Optional;

import io.vertx.core.Future;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.config.TicketRules;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.core.ticket.AuditEntry;
import org.knapweedmount.core.ticket.TicketAcceptance;
import org.knapweedmount.core.ticket.TicketAnswer;
import org.knapweedmount.core.ticket.TicketState;
import org.knapweedmount.core.ticket.TicketStep;
import org.knapweedmount.core.ticket.TicketView;
import org.knapweedmount.core.ticket.WriteResult;
import org.knapweedmount.daemon.store.ReadResult;
import org.knapweedmount.daemon.store.TableService;
import org.knapweedmount.daemon.store.TransactResult;

/** Performs the steps to accept one ticket. */
final class TicketAcceptor {
    private final TableService tables;
    private final TicketSync sync;
    private final Ticket ticket;
    private final TicketOrigin origin;
    private final TicketAcceptance acceptance;
    private long headNumber;

    TicketAcceptor(TableService tables, TicketSync sync, Ticket ticket, TicketOrigin origin, Invariants invariants) {
        this.tables = tables;
        this.sync = sync;
        this.ticket = ticket;
        this.origin = origin;
        this.acceptance = new TicketAcceptance(ticket, invariants);
    }

    Future<TicketAnswer> accept() {
        return perform(new TicketStep.Read());
    }

    private Future<TicketAnswer> perform(TicketStep step) {
        if (step instanceof TicketStep.Write write) {
            return write(write.headVersion());
        }
        if (step instanceof TicketStep.Done done) {
            return finish(done.answer());
        }
        return readView().compose(view -> {
            headNumber = view.map(TicketView::headNumber).orElse(0L);
            return perform(acceptance.afterRead(view));
        });
    }

    private Future<TicketAnswer> finish(TicketAnswer answer) {
        if (acceptance.state() == TicketState.ACCEPTED) {
            sync.accepted(ticket, headNumber);
            acceptance.applied();
        }
        return Future.succeededFuture(answer);
    }

    private Future<Optional<TicketView>> readView() {
        return tables.read(TicketRows.HEAD).compose(head -> {
            if (!head.answered()) {
                return Future.succeededFuture(Optional.empty());
            }
            return tables.read(TicketRows.ticket(ticket.number())).map(row -> toView(head, row));
        });
    }

    private static Optional<TicketView> toView(ReadResult head, ReadResult ticketRow) {
        boolean unreadable = ticketRow.row().isPresent()
                && ticketRow.row().flatMap(TicketRows::ticket).isEmpty();
        if (!ticketRow.answered() || unreadable) {
            return Optional.empty();
        }
        long version = head.row().map(row -> row.version()).orElse(0L);
        Optional<Ticket> existing = ticketRow.row().flatMap(TicketRows::ticket);
        return Optional.of(new TicketView(TicketRows.headNumber(head.row()), version, existing));
    }

    private Future<TicketAnswer> write(long headVersion) {
        if (sync.isCompleteUpTo(headNumber)) {
            return checkAndWrite(headVersion);
        }
        return sync.sync().compose(ignored -> {
            if (sync.isCompleteUpTo(headNumber)) {
                return checkAndWrite(headVersion);
            }
            return perform(acceptance.afterWrite(WriteResult.UNAVAILABLE));
        });
    }

    private Future<TicketAnswer> checkAndWrite(long headVersion) {
        List<String> problems = TicketRules.check(ticket, sync.config());
        if (!problems.isEmpty()) {
            return perform(acceptance.validationFailed(problems));
        }
        AuditEntry audit = AuditEntry.of(ticket, sync.config(), origin.token(), origin.entry(), origin.when());
        return tables.transact(TicketRows.acceptance(ticket, headVersion, audit))
                .compose(result -> perform(acceptance.afterWrite(writeResult(result))));
    }

    private static WriteResult writeResult(TransactResult result) {
        if (result instanceof TransactResult.Committed) {
            return WriteResult.COMMITTED;
        }
        if (result instanceof TransactResult.Conflict) {
            return WriteResult.CONFLICT;
        }
        return result instanceof TransactResult.Unknown ? WriteResult.UNKNOWN : WriteResult.UNAVAILABLE;
    }
}
