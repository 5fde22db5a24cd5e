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
    public static final int BEAT_MILLIS = 10_000;

    private static final int RETRY_MILLIS = 1_000;
    private static final int DELETE_ATTEMPTS = 3;

    private final Vertx vertx;
    private final TableService tables;
    private final PeerAddress self;
    private final RowId name;
    private long beat;
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
        this.name = EntryRow.rowId(self.incarnation());
    }

    /** Writes the row now and then from time to time. */
    public void start() {
        tables.read(name).onSuccess(this::received);
    }

    private void received(ReadResult result) {
        if (stopped) {
            return;
        }
        if (!result.answered()) {
            beatAfter(RETRY_MILLIS);
            return;
        }
        if (replaced(result)) {
            Logger.error("another process named {} has taken this entry's row over", name.key());
            stopped = true;
            return;
        }
        beat++;
        long version = result.row().map(Row::version).orElse(Transaction.ABSENT);
        Transaction write = Transaction.EMPTY.require(name, version).put(name, new EntryRow(self, beat).value());
        tables.transact(write).onSuccess(this::written);
    }

    private boolean replaced(ReadResult result) {
        boolean own = result.row().flatMap(EntryRow::parse).filter(this::isOwn).isPresent();
        return announced && result.row().isPresent() && !own;
    }

    private boolean isOwn(EntryRow row) {
        return row.address().incarnation().equals(self.incarnation());
    }

    private void written(TransactResult result) {
        boolean committed = result instanceof TransactResult.Committed;
        announced |= committed;
        beatAfter(committed ? BEAT_MILLIS : RETRY_MILLIS);
    }

    private void beatAfter(int millis) {
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
        return delete(DELETE_ATTEMPTS);
    }

    private Future<Void> delete(int attempts) {
        return tables.read(name).compose(result -> delete(result, attempts));
    }

    private Future<Void> delete(ReadResult result, int attempts) {
        boolean own = result.row().flatMap(EntryRow::parse).filter(this::isOwn).isPresent();
        if (!own) {
            return Future.succeededFuture();
        }
        long version = result.row().orElseThrow().version();
        Transaction deletion = Transaction.EMPTY.require(name, version).delete(name);
        return tables.transact(deletion).compose(outcome -> {
            boolean beatCameBetween = outcome instanceof TransactResult.Conflict;
            return beatCameBetween && attempts > 1 ? delete(attempts - 1) : Future.succeededFuture();
        });
    }
}
