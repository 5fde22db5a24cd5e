package org.knapweedmount.standins.platform;

import io.vertx.core.buffer.Buffer;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * An answer of the platform.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body, which may be empty
 */
public record PlatformResponse(int status, String contentType, Buffer body) {
    /** The media type of answers in JSON. */
    public static final String JSON = "application/json";

    private record Problem(String detail) {}

    /**
     * Creates an answer in JSON.
     *
     * @param status the HTTP status
     * @param value a record
     * @return the answer
     */
    public static PlatformResponse json(int status, Object value) {
        return new PlatformResponse(status, JSON, JsonHttp.encode(value));
    }

    /**
     * Creates an answer that says what went wrong.
     *
     * @param status the HTTP status
     * @param detail a sentence for the caller
     * @return the answer
     */
    public static PlatformResponse problem(int status, String detail) {
        return json(status, new Problem(detail));
    }
}
