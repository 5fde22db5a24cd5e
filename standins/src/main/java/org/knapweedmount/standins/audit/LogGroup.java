package org.knapweedmount.standins.audit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A group of a batched line: runs with the same circumstances.
 *
 * @param line the line
 * @param micros when the event happened, in µs
 * @param fields the fields of the group
 */
record LogGroup(LogLine line, long micros, Map<String, String> fields) {
    /** The accuracy of a time that is the time of a line less an interval in whole ms, in µs. */
    private static final long ACCURACY_MICROS = 1_000;

    static List<LogGroup> of(LogLine line) {
        List<LogGroup> groups = new ArrayList<>();
        for (String detail : line.detail().split("; ", -1)) {
            Map<String, String> fields = LogLine.fields(detail);
            long agoMicros = TimeUnit.MILLISECONDS.toMicros(Long.parseLong(fields.getOrDefault("ago", "0")));
            groups.add(new LogGroup(line, line.micros() - agoMicros, fields));
        }
        return groups;
    }

    /** Returns the time by which groups are put in order, such that a start precedes the end of its run. */
    long orderMicros() {
        return line.event().equals("runs-accepted") ? micros - ACCURACY_MICROS : micros;
    }

    String text(String name) {
        return fields.getOrDefault(name, "?");
    }

    /** Returns a field in ms, 0 if it is missing. */
    long millis(String name) {
        return Long.parseLong(fields.getOrDefault(name, "0"));
    }

    /** Returns the items of a list in brackets. */
    List<String> list(String name) {
        String text = fields.getOrDefault(name, "[]");
        String items = text.substring(1, text.length() - 1);
        return items.isEmpty() ? List.of() : Arrays.asList(items.split(", ", -1));
    }
}
