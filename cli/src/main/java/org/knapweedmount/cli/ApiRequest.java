package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;

import org.knapweedmount.api.Payload;

/**
 * A request to an entry or an agent.
 *
 * @param method the HTTP method
 * @param path the path, including the query
 * @param body the body, empty for none
 * @param headers the headers, names and values alternating
 */
record ApiRequest(String method, String path, Payload body, List<String> headers) {
    ApiRequest {
        headers = List.copyOf(headers);
    }

    static ApiRequest of(String method, String path) {
        return new ApiRequest(method, path, Payload.EMPTY, List.of());
    }

    /** Returns a copy of this request with a body. */
    ApiRequest withBody(Payload newBody, String contentType) {
        return new ApiRequest(method, path, newBody, headers).withHeader("Content-Type", contentType);
    }

    /** Returns a copy of this request with an additional header, or this request if the value is empty. */
    ApiRequest withHeader(String name, String value) {
        if (value.isEmpty()) {
            return this;
        }
        List<String> extended = new ArrayList<>(headers);
        extended.add(name);
        extended.add(value);
        return new ApiRequest(method, path, body, extended);
    }

    /** Returns whether the effect of the request is unknown if its response is lost. */
    boolean mayChangeState() {
        return !method.equals("GET");
    }
}
