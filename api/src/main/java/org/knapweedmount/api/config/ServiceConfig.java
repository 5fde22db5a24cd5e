package org.knapweedmount.api.config;

/**
 * A service with its limits.
 *
 * @param name the service's name in the path of requests
 * @param defaultKind the kind of requests that do not specify one
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param shortOnlyShare the share of each endpoint's slots, from 0 to 1, that is reserved for tasks of short kinds
 */
public record ServiceConfig(String name, String defaultKind, int maxBodyBytes, double shortOnlyShare)
        implements ConfigObject {
    @Override
    public ConfigKey key() {
        return new ConfigKey(ConfigType.SERVICE, name);
    }
}
