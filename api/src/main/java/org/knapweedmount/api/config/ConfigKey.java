package org.knapweedmount.api.config;

import java.util.Objects;

/**
 * The key of a configuration object.
 *
 * @param type the type of the object
 * @param name the name of the object, unique within its type
 */
public record ConfigKey(ConfigType type, String name) {
    /** Checks that no component is null. */
    public ConfigKey {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(name, "name");
    }

    @Override
    public String toString() {
        return type.text() + "/" + name;
    }
}
