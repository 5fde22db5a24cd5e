package org.knapweedmount.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;

/**
 * The position of the stand-in's switches.
 *
 * @param mode how requests are treated
 * @param delayMillis how long requests wait in the mode slow, in ms
 */
public record PlatformControl(ServiceMode mode, int delayMillis) {
    /** The position after a start. */
    public static final PlatformControl INITIAL = new PlatformControl(ServiceMode.UP, 0);

    private static final int MAX_DELAY_MILLIS = 600_000;

    /**
     * Reads the body of a request.
     *
     * @param body an object with {@code mode} and, for the mode slow, {@code delayMillis}
     * @return the position
     * @throws ParseException if a field is missing or out of range
     */
    public static PlatformControl parse(JsonNode body) throws ParseException {
        ServiceMode mode = ServiceMode.parse(body.path("mode").asText());
        if (mode != ServiceMode.SLOW) {
            return new PlatformControl(mode, 0);
        }
        int delayMillis = body.path("delayMillis").asInt();
        if (delayMillis < 1 || delayMillis > MAX_DELAY_MILLIS) {
            throw new ParseException("'delayMillis' is not from 1 to " + MAX_DELAY_MILLIS + " in " + body);
        }
        return new PlatformControl(mode, delayMillis);
    }
}
