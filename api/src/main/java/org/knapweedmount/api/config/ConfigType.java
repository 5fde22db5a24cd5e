package org.knapweedmount.api.config;

import java.util.Locale;

/** What an object of a change ticket describes. */
public enum ConfigType {
    /** A service with its limits. */
    SERVICE,
    /** A kind of task. */
    KIND,
    /** A team and its quota. */
    TEAM,
    /** A worker or a data centre that takes no new work. */
    DRAIN;

    /**
     * Returns the word used in tickets.
     *
     * @return for instance {@code service}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
