package org.knapweedmount.api.config;

/** A configuration object, which a change ticket replaces as a whole. */
public sealed interface ConfigObject permits ServiceConfig, KindConfig, TeamConfig, DrainConfig, RemovedConfig {
    /**
     * Returns the key of this object; a ticket with a higher number replaces the object with the same key.
     *
     * @return the key
     */
    ConfigKey key();
}
