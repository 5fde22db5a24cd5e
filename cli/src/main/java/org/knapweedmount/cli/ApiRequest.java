package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;

import org.knapweedmount.api.Payload;

/**
 * A request to an entry.
 *
 * @param method the HTTP method
 * @param path the path with the query
 * @param body the body, empty for none
 * @param headers names and values in turn
 */
record ApiRequest(String method, String path, Payload body, List<String> headers) {
    ApiRequest {
        headers = List.copyOf(headers);
    }

    static ApiRequest of(String method, String path) {
        return new ApiRequest(method, path, Payload.EMPTY, List.of());
    }

    /** Returns this request with a body. */
    ApiRequest withBody(Payload newBody, String contentType) {
        return new ApiRequest(method, path, newBody, headers).withHeader("Content-Type", contentType);
    }

    /** Returns this request with one more header, or as it is if the value is empty. */
    ApiRequest withHeader(String name, String value) {
        if (value.isEmpty()) {
            return this;
        }
        List<String> extended = new ArrayList<>(headers);
        extended.add(name);
        extended.add(value);
        return new ApiRequest(method, path, body, extended);
    }

    /** Tells whether an answer that got lost leaves it unknown what happened. */
    boolean mayChangeState() {
        return !method.equals("GET");
    }
}
