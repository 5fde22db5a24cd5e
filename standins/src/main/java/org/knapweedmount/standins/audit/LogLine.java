package org.knapweedmount.standins.audit;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of the decision log of a process.
 *
 * @param micros when the line was written, in µs since 1970 or since the start of a simulation
 * @param process the name of the process
 * @param event the name of the event
 * @param detail the rest of the line
 */
record LogLine(long micros, String process, String event, String detail) {
    /** Lines of a simulation start with the simulated time, in s, and the name of the VM. */
    private static final Pattern SIMULATED = Pattern.compile("\\s*(-?\\d+\\.\\d+) \\S+ .*");

    private static final Pattern DECISION = Pattern.compile(".*?\\bprocess=(\\S+) event=(\\S+)(?: (.*))?");
    private static final Pattern FIELD =
            Pattern.compile("([A-Za-z-]+)=(\\[[^\\]]*\\]|\\{[^}]*\\}|\"[^\"]*\"|[^\\s;]+)");
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final long FIRST_DATE_MICROS = TimeUnit.DAYS.toMicros(365);

    /** Parses a line; empty if it is not a line of a decision log. */
    static Optional<LogLine> parse(String text) {
        Matcher matcher = DECISION.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String detail = matcher.group(3) == null ? "" : matcher.group(3);
        return micros(text).map(micros -> new LogLine(micros, matcher.group(1), matcher.group(2), detail));
    }

    private static Optional<Long> micros(String text) {
        Matcher simulated = SIMULATED.matcher(text);
        if (simulated.matches()) {
            return Optional.of(Math.round(Double.parseDouble(simulated.group(1)) * MICROS_PER_SECOND));
        }
        try {
            Instant date = OffsetDateTime.parse(text.split(" ", 2)[0]).toInstant();
            return Optional.of(
                    TimeUnit.SECONDS.toMicros(date.getEpochSecond()) + TimeUnit.NANOSECONDS.toMicros(date.getNano()));
        } catch (DateTimeException e) {
            return Optional.empty();
        }
    }

    /** Formats a time of a line: a date, or the seconds since the start of a simulation. */
    static String format(long micros) {
        if (micros < FIRST_DATE_MICROS) {
            return String.format("%.3f s", micros / MICROS_PER_SECOND);
        }
        return Instant.ofEpochMilli(TimeUnit.MICROSECONDS.toMillis(micros)).toString();
    }

    /** Returns the fields of the line, or of one group of its detail. */
    static Map<String, String> fields(String detail) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(detail);
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(2));
        }
        return fields;
    }
}
