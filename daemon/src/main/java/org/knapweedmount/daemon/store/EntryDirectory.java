package org.knapweedmount.daemon.store;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vertx.core.Vertx;
import org.tinylog.Logger;

/**
 * Lists the entries that have a row in the table service, from time to time, and deletes rows of entries long gone.
 *
 * <p>Used on the context of the store.
 */
public final class EntryDirectory {
    /** The time between two lists, in ms. */
    public static final int LIST_INTERVAL_MILLIS = 2_000;

    private static final long STALE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(35);

    private final Vertx vertx;
    private final TableService tables;
    private final LongSupplier nanoClock;
    private final Consumer<KnownEntries> listener;
    private final StaleEntryDetector staleEntryDetector = new StaleEntryDetector(STALE_AFTER_NANOS);
    private final OutdatedRowDetector outdatedRowDetector;
    private long timer;

    /**
     * Creates a directory that has listed nothing.
     *
     * @param vertx starts the timers
     * @param tables the table service
     * @param ownRow the row of this entry
     * @param nanoClock gives the present time of a monotonic clock, in ns
     * @param listener told the entries after each list
     */
    public EntryDirectory(
            Vertx vertx, TableService tables, RowId ownRow, LongSupplier nanoClock, Consumer<KnownEntries> listener) {
        this.vertx = vertx;
        this.tables = tables;
        this.outdatedRowDetector = new OutdatedRowDetector(ownRow);
        this.nanoClock = nanoClock;
        this.listener = listener;
    }

    /** Lists the entries now and then from time to time. */
    public void start() {
        timer = vertx.setPeriodic(1, LIST_INTERVAL_MILLIS, fired -> list());
    }

    /** Stops listing. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    private void list() {
        tables.listAll(EntryRow.TABLE, "").onSuccess(result -> {
            if (result.answered()) {
                listener.accept(staleEntryDetector.observe(result.rows(), nanoClock.getAsLong()));
                outdatedRowDetector.observe(result.rows()).stream().findFirst().ifPresent(this::delete);
            }
        });
    }

    /** Deletes a row unless it has changed since it was listed. */
    private void delete(Row row) {
        Logger.info("deleting the row of entry {}, which has gone", row.id().key());
        tables.transact(Transaction.EMPTY.require(row.id(), row.version()).delete(row.id()));
    }
}
