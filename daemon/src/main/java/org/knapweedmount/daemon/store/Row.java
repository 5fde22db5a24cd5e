package org.knapweedmount.daemon.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One row as read from the table service.
 *
 * @param id the row's ID
 * @param version the row's version, at least 1
 * @param value the row's value
 */
public record Row(RowId id, long version, JsonNode value) {}
