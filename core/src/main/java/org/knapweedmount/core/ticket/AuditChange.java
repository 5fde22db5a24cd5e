package org.knapweedmount.core.ticket;

import java.util.Optional;

import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;

/**
 * The change of one object by a ticket.
 *
 * @param key the key of the object
 * @param before its state before the ticket, empty if it did not exist
 * @param after its state after the ticket, empty if the ticket removed it
 */
public record AuditChange(ConfigKey key, Optional<ConfigObject> before, Optional<ConfigObject> after) {}
