package org.knapweedmount.daemon.store;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vertx.core.Vertx;

/**
 * Lists the entries that have a row in the table service, from time to time.
 *
 * <p>Used on the context of the store.
 */
public final class EntryDirectory {
    /** The time between two lists, in ms. */
    public static final int LIST_MILLIS = 2_000;

    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(35);

    private final Vertx vertx;
    private final Tables tables;
    private final LongSupplier nanoClock;
    private final Consumer<KnownEntries> listener;
    private final EntryRows rows = new EntryRows(STALE_NANOS);
    private long timer;

    /**
     * Creates a directory that has listed nothing.
     *
     * @param vertx starts the timers
     * @param tables the table service
     * @param nanoClock gives the present time of a monotonic clock, in ns
     * @param listener told the entries after each list
     */
    public EntryDirectory(Vertx vertx, Tables tables, LongSupplier nanoClock, Consumer<KnownEntries> listener) {
        this.vertx = vertx;
        this.tables = tables;
        this.nanoClock = nanoClock;
        this.listener = listener;
    }

    /** Lists the entries now and then from time to time. */
    public void start() {
        timer = vertx.setPeriodic(1, LIST_MILLIS, fired -> list());
    }

    /** Stops listing. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    private void list() {
        tables.listAll(EntryRow.TABLE, "").onSuccess(result -> {
            if (result.answered()) {
                listener.accept(rows.observe(result.rows(), nanoClock.getAsLong()));
            }
        });
    }
}
