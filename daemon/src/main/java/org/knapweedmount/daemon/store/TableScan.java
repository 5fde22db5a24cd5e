package org.knapweedmount.daemon.store;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;

/** Reads all rows of a table page by page. */
final class TableScan {
    private final TableService tables;
    private final String table;
    private final List<Row> rows = new ArrayList<>();

    TableScan(TableService tables, String table) {
        this.tables = tables;
        this.table = table;
    }

    Future<ListResult> read(String after) {
        return tables.list(table, after).compose(this::pageRead);
    }

    private Future<ListResult> pageRead(ListResult page) {
        if (!page.answered()) {
            return Future.succeededFuture(ListResult.UNAVAILABLE);
        }
        rows.addAll(page.rows());
        if (page.rows().size() < TableService.MAX_ROWS_PER_PAGE) {
            return Future.succeededFuture(new ListResult(true, rows));
        }
        String last = page.rows().get(page.rows().size() - 1).id().key();
        return read(last);
    }
}
