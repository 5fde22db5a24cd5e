package org.knapweedmount.daemon.agent;

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
final class EntryFinder {
    private static final int LIST_MILLIS = 10_000;
    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(35);

    private final Vertx vertx;
    private final Tables tables;
    private final NanoClock clock;
    private final Consumer<PeerAddress> found;
    private final EntryRows rows = new EntryRows(STALE_NANOS);
    private long timer;

    EntryFinder(Vertx vertx, Tables tables, NanoClock clock, Consumer<PeerAddress> found) {
        this.vertx = vertx;
        this.tables = tables;
        this.clock = clock;
        this.found = found;
    }

    /** Reads the rows now and then from time to time. */
    void start() {
        timer = vertx.setPeriodic(1, LIST_MILLIS, fired -> list());
    }

    void stop() {
        vertx.cancelTimer(timer);
    }

    private void list() {
        tables.listAll(EntryRow.TABLE, "").onSuccess(this::listed);
    }

    private void listed(ListResult result) {
        if (result.answered()) {
            KnownEntries known = rows.observe(result.rows(), clock.nanos());
            known.recent().forEach(found);
        }
    }
}
