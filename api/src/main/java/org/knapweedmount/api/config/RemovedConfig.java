package org.knapweedmount.api.config;

/**
 * The tombstone of a configuration object that a ticket removed.
 *
 * <p>It is kept with the number of that ticket, so that an older ticket that arrives late does not restore the object.
 *
 * @param key the key of the removed object
 */
public record RemovedConfig(ConfigKey key) implements ConfigObject {}
