package org.knapweedmount.daemon.agent;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.store.EntryRow;
import org.knapweedmount.daemon.store.EntryRows;
import org.knapweedmount.daemon.store.KnownEntries;
import org.knapweedmount.daemon.store.ListResult;
import org.knapweedmount.daemon.store.Tables;

/**
 * Finds the entries by their rows in the table service.
 *
 * <p>While the table service is down, the agent learns of entries by messages and by its settings alone.
 *
 * <p>Used on the event loop.
 */
public final class EntryFinder {
    private static final int MIN_LIST_INTERVAL_MILLIS = 8_000;
    private static final int MAX_LIST_INTERVAL_MILLIS = 12_000;
    private static final long ROW_STALE_NANOS = TimeUnit.SECONDS.toNanos(35);

    private final Vertx vertx;
    private final Tables tables;
    private final NanoClock clock;
    private final Consumer<PeerAddress> found;
    private final Random random;
    private final EntryRows rows = new EntryRows(ROW_STALE_NANOS);
    private long timer;

    /**
     * Creates a search that has not begun.
     *
     * @param vertx starts the timers
     * @param tables the table service
     * @param clock the clock
     * @param found takes each entry that has a recent row
     * @param seed the seed of the times between two lists
     */
    public EntryFinder(Vertx vertx, Tables tables, NanoClock clock, Consumer<PeerAddress> found, long seed) {
        this.vertx = vertx;
        this.tables = tables;
        this.clock = clock;
        this.found = found;
        this.random = new Random(seed);
    }

    /** Reads the rows now and then from time to time, at random so that agents do not all ask at the same moment. */
    public void start() {
        tables.listAll(EntryRow.TABLE, "").onSuccess(this::listed);
        timer = vertx.setTimer(random.nextInt(MIN_LIST_INTERVAL_MILLIS, MAX_LIST_INTERVAL_MILLIS), fired -> start());
    }

    /** Stops to read the rows. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    private void listed(ListResult result) {
        if (result.answered()) {
            KnownEntries known = rows.observe(result.rows(), clock.nanos());
            known.recent().forEach(found);
        }
    }
}
