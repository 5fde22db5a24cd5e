package org.knapweedmount.api.config;

/** An object that change tickets replace as a whole. */
public sealed interface ConfigObject permits ServiceConfig, KindConfig, TeamConfig, DrainConfig, RemovedConfig {
    /**
     * Returns the key under which a later ticket replaces this object.
     *
     * @return the key
     */
    ConfigKey key();
}
