package org.knapweedmount.daemon.agent;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.store.EntryRow;
import org.knapweedmount.daemon.store.KnownEntries;
import org.knapweedmount.daemon.store.ListResult;
import org.knapweedmount.daemon.store.StaleEntryDetector;
import org.knapweedmount.daemon.store.TableService;

/**
 * Discovers entries by reading their rows from the table service at intervals.
 *
 * <p>While the table service is down, the agent learns of entries only from messages and from its settings.
 *
 * <p>Used on the event loop.
 */
public final class EntryFinder {
    private static final int MIN_LIST_INTERVAL_MILLIS = 8_000;
    private static final int MAX_LIST_INTERVAL_MILLIS = 12_000;
    private static final long ROW_STALE_NANOS = TimeUnit.SECONDS.toNanos(35);

    private final Vertx vertx;
    private final TableService tables;
    private final NanoClock clock;
    private final Consumer<PeerAddress> found;
    private final Random random;
    private final StaleEntryDetector staleEntryDetector = new StaleEntryDetector(ROW_STALE_NANOS);
    private long timer;

    /**
     * Creates a finder that is not started.
     *
     * @param vertx starts the timers
     * @param tables the table service
     * @param clock the monotonic clock
     * @param found receives each entry that has a recent row
     * @param seed the seed for the random intervals between two reads
     */
    public EntryFinder(Vertx vertx, TableService tables, NanoClock clock, Consumer<PeerAddress> found, long seed) {
        this.vertx = vertx;
        this.tables = tables;
        this.clock = clock;
        this.found = found;
        this.random = new Random(seed);
    }

    /** Reads the rows immediately and then at random intervals, so that agents do not all read at once. */
    public void start() {
        tables.listAll(EntryRow.TABLE, "").onSuccess(this::listed);
        timer = vertx.setTimer(random.nextInt(MIN_LIST_INTERVAL_MILLIS, MAX_LIST_INTERVAL_MILLIS), fired -> start());
    }

    /** Stops reading the rows. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    private void listed(ListResult result) {
        if (result.answered()) {
            KnownEntries known = staleEntryDetector.observe(result.rows(), clock.nanos());
            known.recent().forEach(found);
        }
    }
}
