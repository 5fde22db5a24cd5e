package org.knapweedmount.daemon.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** The minimum severity of the lines that a process logs. */
public enum LogLevel {
    /** Detailed steps, for debugging. */
    TRACE,
    /** Events of interest to developers. */
    DEBUG,
    /** Changes of state. */
    INFO,
    /** Problems that an operator should check. */
    WARN,
    /** Failures. */
    ERROR,
    /** Logging is switched off. */
    OFF;

    /**
     * Finds a level by its name in the settings.
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
     * Returns the name used in the settings and by the logging library.
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
