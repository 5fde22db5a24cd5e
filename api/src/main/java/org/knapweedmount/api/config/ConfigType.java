package org.knapweedmount.api.config;

import java.util.Locale;

/** The type of a configuration object. */
public enum ConfigType {
    /** A service with its limits. */
    SERVICE,
    /** A kind of task. */
    KIND,
    /** A team and its quota. */
    TEAM,
    /** An agent or a data centre that accepts no new work. */
    DRAIN;

    /**
     * Returns the name used in tickets.
     *
     * @return for instance {@code service}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
