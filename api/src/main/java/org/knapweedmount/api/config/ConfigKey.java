package org.knapweedmount.api.config;

import java.util.Objects;

/**
 * The identity of an object that change tickets replace.
 *
 * @param type what the object describes
 * @param name the object's name among those of its type
 */
public record ConfigKey(ConfigType type, String name) {
    /** Checks that nothing is missing. */
    public ConfigKey {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(name, "name");
    }

    @Override
    public String toString() {
        return type.text() + "/" + name;
    }
}
