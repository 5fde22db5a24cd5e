package org.knapweedmount.daemon.store;

import io.vertx.core.Future;

/**
 * The platform's table service.
 *
 * <p>No future fails: what went wrong is in the result. The results arrive on the context of the store.
 */
public interface TableService {
    /** The greatest number of rows of one list. */
    int MAX_ROWS_PER_PAGE = 500;

    /**
     * Reads one row.
     *
     * @param row the row
     * @return the result
     */
    Future<ReadResult> read(RowId row);

    /**
     * Reads rows in the order of their keys.
     *
     * @param table the table
     * @param after only rows with greater keys are read, empty for all
     * @return at most {@link #MAX_ROWS_PER_PAGE} rows
     */
    Future<ListResult> list(String table, String after);

    /**
     * Carries out a transaction.
     *
     * @param transaction the transaction
     * @return the result
     */
    Future<TransactResult> transact(Transaction transaction);

    /**
     * Reads all rows of a table, page by page; rows that are written meanwhile may be missing.
     *
     * @param table the table
     * @param after only rows with greater keys are read, empty for all
     * @return the rows
     */
    default Future<ListResult> listAll(String table, String after) {
        return new TableScan(this, table).read(after);
    }
}
