package org.knapweedmount.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;

/**
 * The outage-injection settings of the platform stand-in.
 *
 * @param mode the outage that is simulated
 * @param delayMillis the delay of each request in mode slow, in ms; 0 in other modes
 */
public record PlatformControl(ServiceMode mode, int delayMillis) {
    /** The settings after the start of the stand-in. */
    public static final PlatformControl INITIAL = new PlatformControl(ServiceMode.UP, 0);

    private static final int MAX_DELAY_MILLIS = 600_000;

    /**
     * Parses the body of a request to {@code /control}.
     *
     * @param body an object with {@code mode} and, for mode slow, {@code delayMillis}
     * @return the settings
     * @throws ParseException if a field is missing or out of range
     */
    public static PlatformControl parse(JsonNode body) throws ParseException {
        ServiceMode mode = ServiceMode.parse(body.path("mode").asText());
        if (mode != ServiceMode.SLOW) {
            return new PlatformControl(mode, 0);
        }
        int delayMillis = body.path("delayMillis").asInt();
        if (delayMillis < 1 || delayMillis > MAX_DELAY_MILLIS) {
            throw new ParseException("'delayMillis' must be from 1 to " + MAX_DELAY_MILLIS + " in " + body);
        }
        return new PlatformControl(mode, delayMillis);
    }
}
