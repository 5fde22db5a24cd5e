package org.knapweedmount.standins.platform;

import org.knapweedmount.api.ParseException;

/**
 * The filter and limit of a request that lists rows.
 *
 * @param prefix the prefix of the keys to list, empty for all keys
 * @param after the exclusive lower bound of the keys to list
 * @param limit the largest number of rows to list
 */
public record RowQuery(String prefix, String after, int limit) {
    private static final int DEFAULT_LIMIT = 100;
    private static final int MAX_LIMIT = 1_000;

    /**
     * Parses the query parameters of a request.
     *
     * @param prefix the query parameter {@code prefix}, null if missing
     * @param after the query parameter {@code after}, null if missing
     * @param limit the query parameter {@code limit}, null if missing
     * @return the query
     * @throws ParseException if the limit is not a number from 1 to 1000
     */
    public static RowQuery parse(String prefix, String after, String limit) throws ParseException {
        return new RowQuery(orEmpty(prefix), orEmpty(after), limit(limit));
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }

    private static int limit(String text) throws ParseException {
        if (text == null) {
            return DEFAULT_LIMIT;
        }
        try {
            int limit = Integer.parseInt(text);
            if (limit > 0 && limit <= MAX_LIMIT) {
                return limit;
            }
        } catch (NumberFormatException e) {
            throw new ParseException("'limit' must be a whole number, but is: " + text, e);
        }
        throw new ParseException("'limit' must be from 1 to " + MAX_LIMIT + ", but is: " + text);
    }
}
