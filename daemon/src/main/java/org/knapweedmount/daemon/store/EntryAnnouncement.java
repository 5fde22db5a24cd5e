package org.knapweedmount.daemon.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.knapweedmount.api.PeerAddress;
import org.tinylog.Logger;

/**
 * Keeps the row by which this entry makes itself known.
 *
 * <p>The row is read before it is written, so that a lost answer needs no further care. A process that starts takes the
 * row of an earlier process with the same name over; one that finds its row taken over stops writing it.
 *
 * <p>Used on the context of the store.
 */
public final class EntryAnnouncement {
    /** The time between two beats, in ms. */
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
     * Creates an announcement that is not made yet.
     *
     * @param vertx starts the timers
     * @param tables the table service
     * @param self where this entry listens for links
     */
    public EntryAnnouncement(Vertx vertx, TableService tables, PeerAddress self) {
        this.vertx = vertx;
        this.tables = tables;
        this.self = self;
        this.rowId = EntryRow.rowId(self.incarnation());
    }

    /** Writes the row now and then from time to time. */
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
            Logger.error("another process named {} has taken this entry's row over", rowId.key());
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
     * Deletes the row, unless another process has taken it over.
     *
     * @return completes when the row is deleted or the table service cannot be asked; never fails
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
