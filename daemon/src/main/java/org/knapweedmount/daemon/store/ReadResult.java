package org.knapweedmount.daemon.store;

import java.util.Optional;

/**
 * The result of reading one row.
 *
 * @param answered false if the row could not be read
 * @param row the row, empty if it does not exist or could not be read
 */
public record ReadResult(boolean answered, Optional<Row> row) {
    /** The row could not be read. */
    public static final ReadResult UNAVAILABLE = new ReadResult(false, Optional.empty());

    /** The row does not exist. */
    public static final ReadResult MISSING = new ReadResult(true, Optional.empty());

    /**
     * Creates the result for a row that exists.
     *
     * @param row the row
     * @return the result
     */
    public static ReadResult found(Row row) {
        return new ReadResult(true, Optional.of(row));
    }
}
