package org.knapweedmount.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The write of one row in a transaction.
 *
 * @param table the name of the table
 * @param key the key of the row
 * @param value the new value, or JSON null to delete the row
 */
public record Write(String table, String key, JsonNode value) {}
