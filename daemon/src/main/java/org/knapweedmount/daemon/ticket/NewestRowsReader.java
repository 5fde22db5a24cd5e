package org.knapweedmount.daemon.ticket;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.vertx.core.Future;
import org.knapweedmount.daemon.store.ListResult;
import org.knapweedmount.daemon.store.Row;
import org.knapweedmount.daemon.store.TableService;

/**
 * Reads the newest rows of a table whose keys are ticket numbers.
 *
 * <p>The table service lists rows in ascending key order only and ticket numbers may be sparse, so the range below the
 * highest number is enlarged until it contains enough rows.
 */
final class NewestRowsReader {
    private static final int RANGE_GROWTH_FACTOR = 16;

    private final TableService tables;
    private final String table;
    private final long highest;
    private final int limit;

    NewestRowsReader(TableService tables, String table, long highest, int limit) {
        this.tables = tables;
        this.table = table;
        this.highest = highest;
        this.limit = limit;
    }

    /** Reads rows up to the limit, newest first. */
    Future<ListResult> read() {
        return read(limit);
    }

    private Future<ListResult> read(long range) {
        long after = Math.max(0, highest - range);
        return tables.listAll(table, TicketRows.key(after)).compose(list -> {
            boolean enough = list.rows().size() >= limit || after == 0;
            if (list.answered() && !enough) {
                return read(range > highest / RANGE_GROWTH_FACTOR ? highest : range * RANGE_GROWTH_FACTOR);
            }
            return Future.succeededFuture(newest(list));
        });
    }

    private ListResult newest(ListResult list) {
        List<Row> rows = new ArrayList<>(list.rows());
        Collections.reverse(rows);
        return new ListResult(list.answered(), rows.subList(0, Math.min(limit, rows.size())));
    }
}
