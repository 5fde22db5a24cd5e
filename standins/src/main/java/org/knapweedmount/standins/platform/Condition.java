package org.knapweedmount.standins.platform;

/**
 * What a transaction requires of a row.
 *
 * @param table the name of the table
 * @param key the row's key
 * @param version the version that the row must have, 0 if the row must not exist
 */
public record Condition(String table, String key, long version) {}
