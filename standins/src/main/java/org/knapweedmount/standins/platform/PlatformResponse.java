package org.knapweedmount.standins.platform;

import io.vertx.core.buffer.Buffer;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * An HTTP response of the platform.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body, which may be empty
 */
public record PlatformResponse(int status, String contentType, Buffer body) {
    /** The media type of JSON responses. */
    public static final String JSON = "application/json";

    private record Problem(String detail) {}

    /**
     * Creates a JSON response.
     *
     * @param status the HTTP status
     * @param value the record to write as JSON
     * @return the response
     */
    public static PlatformResponse json(int status, Object value) {
        return new PlatformResponse(status, JSON, JsonHttp.encode(value));
    }

    /**
     * Creates an error response.
     *
     * @param status the HTTP status
     * @param detail the description of the error
     * @return the response
     */
    public static PlatformResponse problem(int status, String detail) {
        return json(status, new Problem(detail));
    }
}
