package org.knapweedmount.standins.platform;

/**
 * A precondition of a transaction: the version of one row.
 *
 * @param table the name of the table
 * @param key the key of the row
 * @param version the version that the row must have, 0 if the row must not exist
 */
public record Condition(String table, String key, long version) {}
