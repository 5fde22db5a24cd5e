package org.knapweedmount.api.config;

/**
 * The state of an object that a ticket removed.
 *
 * <p>It is kept with its ticket's number, so that an older ticket that arrives late does not bring the object back.
 *
 * @param key the object that no longer exists
 */
public record RemovedConfig(ConfigKey key) implements ConfigObject {}
