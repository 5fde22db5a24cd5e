package org.knapweedmount.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a transaction does to a row.
 *
 * @param table the name of the table
 * @param key the row's key
 * @param value the new value, the JSON null to delete the row
 */
public record Write(String table, String key, JsonNode value) {}
