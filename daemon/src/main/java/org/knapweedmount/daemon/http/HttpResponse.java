package org.knapweedmount.daemon.http;

import java.util.ArrayList;
import java.util.List;

import org.knapweedmount.api.Payload;

/**
 * An HTTP response that is ready to be sent.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body, empty if there is none
 * @param headers further headers
 * @param body the bytes of the body
 */
public record HttpResponse(int status, String contentType, List<Header> headers, Payload body) {
    /** The media type of JSON. */
    public static final String JSON = "application/json";

    /** The media type of plain text. */
    public static final String TEXT = "text/plain; charset=utf-8";

    /** Copies the headers. */
    public HttpResponse {
        headers = List.copyOf(headers);
    }

    /**
     * Creates a response with a body and no further headers.
     *
     * @param status the HTTP status code
     * @param contentType the media type of the body
     * @param body the bytes of the body
     * @return the response
     */
    public static HttpResponse of(int status, String contentType, Payload body) {
        return new HttpResponse(status, contentType, List.of(), body);
    }

    /**
     * Returns a copy of this response with an additional header.
     *
     * @param name the header's name
     * @param value the header's value
     * @return the extended copy
     */
    public HttpResponse withHeader(String name, String value) {
        List<Header> extended = new ArrayList<>(headers);
        extended.add(new Header(name, value));
        return new HttpResponse(status, contentType, extended, body);
    }
}
