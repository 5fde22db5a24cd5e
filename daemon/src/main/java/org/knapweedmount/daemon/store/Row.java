package org.knapweedmount.daemon.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One row as it was read.
 *
 * @param id the row's name
 * @param version the row's version, from 1 up
 * @param value the row's value
 */
public record Row(RowId id, long version, JsonNode value) {}
