package org.knapweedmount.daemon.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** The least severity of the lines that a process writes to its log. */
public enum LogLevel {
    /** Every step, for the search of a fault. */
    TRACE,
    /** Steps of interest to developers. */
    DEBUG,
    /** Changes of state. */
    INFO,
    /** What an operator should look at. */
    WARN,
    /** What does not work. */
    ERROR,
    /** No lines at all. */
    OFF;

    /**
     * Finds the level of a word in the settings.
     *
     * @param text for instance {@code info}
     * @return the level, empty if there is no such level
     */
    public static Optional<LogLevel> of(String text) {
        return Arrays.stream(values())
                .filter(level -> level.text().equals(text))
                .findFirst();
    }

    /**
     * Returns the word used in the settings and by the log library.
     *
     * @return for instance {@code info}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    static String allowed() {
        return Arrays.stream(values()).map(LogLevel::text).collect(Collectors.joining(", "));
    }
}
