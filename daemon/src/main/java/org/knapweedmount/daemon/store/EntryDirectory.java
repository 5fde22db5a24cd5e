package org.knapweedmount.daemon.store;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vertx.core.Vertx;
import org.tinylog.Logger;

/**
 * Periodically lists the entries that have a row in the table service and deletes outdated rows.
 *
 * <p>Must be used on the context of the store.
 */
public final class EntryDirectory {
    /** The time between two listings, in ms. */
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
     * Creates a directory without listing the entries.
     *
     * @param vertx the Vert.x instance that runs the timers
     * @param tables the table service
     * @param ownRow the row of this entry
     * @param nanoClock returns the time of a monotonic clock, in ns
     * @param listener receives the entries after each listing
     */
    public EntryDirectory(
            Vertx vertx, TableService tables, RowId ownRow, LongSupplier nanoClock, Consumer<KnownEntries> listener) {
        this.vertx = vertx;
        this.tables = tables;
        this.outdatedRowDetector = new OutdatedRowDetector(ownRow);
        this.nanoClock = nanoClock;
        this.listener = listener;
    }

    /** Starts listing the entries periodically. */
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
        Logger.info("deleting the outdated row of entry {}", row.id().key());
        tables.transact(Transaction.EMPTY.require(row.id(), row.version()).delete(row.id()));
    }
}
