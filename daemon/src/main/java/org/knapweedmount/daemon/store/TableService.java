package org.knapweedmount.daemon.store;

import io.vertx.core.Future;

/**
 * The platform's table service.
 *
 * <p>Futures never fail; errors are part of the result. Results arrive on the context of the store.
 */
public interface TableService {
    /** The maximum number of rows in one page. */
    int MAX_ROWS_PER_PAGE = 500;

    /**
     * Reads one row.
     *
     * @param row the ID of the row
     * @return the result
     */
    Future<ReadResult> read(RowId row);

    /**
     * Reads one page of rows in key order.
     *
     * @param table the table
     * @param after the key after which to start, empty to start at the first row
     * @return at most {@link #MAX_ROWS_PER_PAGE} rows
     */
    Future<ListResult> list(String table, String after);

    /**
     * Executes a transaction.
     *
     * @param transaction the transaction
     * @return the result
     */
    Future<TransactResult> transact(Transaction transaction);

    /**
     * Reads all rows of a table, page by page; rows that are written in the meantime may be missing.
     *
     * @param table the table
     * @param after the key after which to start, empty to start at the first row
     * @return the rows
     */
    default Future<ListResult> listAll(String table, String after) {
        return new TableScan(this, table).read(after);
    }
}
