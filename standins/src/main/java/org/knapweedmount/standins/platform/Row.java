package org.knapweedmount.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A versioned row of a table.
 *
 * @param key the key of the row
 * @param version the number of writes since the row was created, starting at 1
 * @param value the value of the row
 */
public record Row(String key, long version, JsonNode value) {}
