package org.knapweedmount.standins.relay;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;

/**
 * How a relay treats its connections.
 *
 * @param mode what it does with them
 * @param delayMicros how long each byte is under way, in µs, in each direction
 * @param duplicate true if what the opener of a new connection sends is also sent on a second connection, whose answers
 *     are dropped
 */
record RelayConditions(RelayMode mode, int delayMicros, boolean duplicate) {
    private static final int MAX_DELAY_MICROS = 60_000_000;

    static RelayConditions passing(int delayMicros) {
        return new RelayConditions(RelayMode.PASS, delayMicros, false);
    }

    /**
     * Reads a change.
     *
     * @param change an object with any of {@code mode}, {@code delayMicros} and {@code duplicate}
     * @return these conditions with the change
     * @throws ParseException if a field is out of range
     */
    RelayConditions with(JsonNode change) throws ParseException {
        int newDelayMicros = change.path("delayMicros").asInt(delayMicros);
        if (newDelayMicros < 0 || newDelayMicros > MAX_DELAY_MICROS) {
            throw new ParseException("'delayMicros' is not from 0 to " + MAX_DELAY_MICROS + " in " + change);
        }
        return new RelayConditions(
                RelayMode.parse(change.path("mode").asText(mode.text())),
                newDelayMicros,
                change.path("duplicate").asBoolean(duplicate));
    }
}
