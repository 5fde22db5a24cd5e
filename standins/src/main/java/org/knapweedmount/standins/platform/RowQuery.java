package org.knapweedmount.standins.platform;

import org.knapweedmount.api.ParseException;

/**
 * What a list of rows is limited to.
 *
 * @param prefix what the keys start with
 * @param after the key that all keys in the list are greater than
 * @param limit the largest number of rows
 */
public record RowQuery(String prefix, String after, int limit) {
    private static final int DEFAULT_LIMIT = 100;
    private static final int MAX_LIMIT = 1_000;

    /**
     * Reads the parameters of a request.
     *
     * @param prefix the parameter, null if it is missing
     * @param after the parameter, null if it is missing
     * @param limit the parameter, null if it is missing
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
            throw new ParseException("'limit' is no number: " + text, e);
        }
        throw new ParseException("'limit' is not from 1 to " + MAX_LIMIT + ": " + text);
    }
}
