package org.knapweedmount.daemon.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.knapweedmount.api.PeerAddress;
import org.tinylog.Logger;

/**
 * Writes and renews the row that announces this entry in the table service.
 *
 * <p>The row is read before each write, so that a lost answer needs no special handling. A process that starts replaces
 * the row of an earlier process with the same name; a process whose row was replaced stops writing it.
 *
 * <p>Must be used on the context of the store.
 */
public final class EntryAnnouncement {
    /** The time between two heartbeats, in ms. */
    public static final int HEARTBEAT_INTERVAL_MILLIS = 10_000;

    private static final int RETRY_DELAY_MILLIS = 1_000;
    private static final int MAX_DELETE_ATTEMPTS = 3;

    private final Vertx vertx;
    private final TableService tables;
    private final PeerAddress self;
    private final RowId rowId;
    private long heartbeatCount;
    private boolean announced;
    private boolean stopped;
    private long timer;

    /**
     * Creates an announcement without writing the row.
     *
     * @param vertx the Vert.x instance that runs the timers
     * @param tables the table service
     * @param self the address on which this entry accepts links
     */
    public EntryAnnouncement(Vertx vertx, TableService tables, PeerAddress self) {
        this.vertx = vertx;
        this.tables = tables;
        this.self = self;
        this.rowId = EntryRow.rowId(self.incarnation());
    }

    /** Writes the row now and renews it periodically. */
    public void start() {
        tables.read(rowId).onSuccess(this::rowRead);
    }

    private void rowRead(ReadResult result) {
        if (stopped) {
            return;
        }
        if (!result.answered()) {
            scheduleHeartbeat(RETRY_DELAY_MILLIS);
            return;
        }
        if (isReplaced(result)) {
            Logger.error("another process named {} has replaced this entry's row; its heartbeat stops", rowId.key());
            stopped = true;
            return;
        }
        heartbeatCount++;
        long version = result.row().map(Row::version).orElse(Transaction.ABSENT);
        Transaction write =
                Transaction.EMPTY.require(rowId, version).put(rowId, new EntryRow(self, heartbeatCount).value());
        tables.transact(write).onSuccess(this::writeEnded);
    }

    private boolean isReplaced(ReadResult result) {
        boolean own = result.row().flatMap(EntryRow::parse).filter(this::isOwn).isPresent();
        return announced && result.row().isPresent() && !own;
    }

    private boolean isOwn(EntryRow row) {
        return row.address().incarnation().equals(self.incarnation());
    }

    private void writeEnded(TransactResult result) {
        boolean committed = result instanceof TransactResult.Committed;
        announced |= committed;
        scheduleHeartbeat(committed ? HEARTBEAT_INTERVAL_MILLIS : RETRY_DELAY_MILLIS);
    }

    private void scheduleHeartbeat(int millis) {
        if (!stopped) {
            timer = vertx.setTimer(millis, fired -> start());
        }
    }

    /**
     * Deletes the row, unless another process has replaced it.
     *
     * @return a future that completes when the row is deleted or the table service cannot be reached; never fails
     */
    public Future<Void> stop() {
        stopped = true;
        vertx.cancelTimer(timer);
        return delete(MAX_DELETE_ATTEMPTS);
    }

    private Future<Void> delete(int attemptsLeft) {
        return tables.read(rowId).compose(result -> delete(result, attemptsLeft));
    }

    private Future<Void> delete(ReadResult result, int attemptsLeft) {
        boolean own = result.row().flatMap(EntryRow::parse).filter(this::isOwn).isPresent();
        if (!own) {
            return Future.succeededFuture();
        }
        long version = result.row().orElseThrow().version();
        Transaction deletion = Transaction.EMPTY.require(rowId, version).delete(rowId);
        return tables.transact(deletion).compose(outcome -> {
            boolean rowChanged = outcome instanceof TransactResult.Conflict;
            return rowChanged && attemptsLeft > 1 ? delete(attemptsLeft - 1) : Future.succeededFuture();
        });
    }
}
