package org.knapweedmount.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A row of a table.
 *
 * @param key the row's key
 * @param version how often the row was written since it was created, from 1 up
 * @param value the row's value
 */
public record Row(String key, long version, JsonNode value) {}
