package org.knapweedmount.daemon.http;

import io.vertx.core.http.HttpServerRequest;

/** The path and query of a request. */
public final class RequestUri {
    private RequestUri() {}

    /**
     * Returns the path with the query, also if the request line has a whole URL.
     *
     * @param request the request
     * @return the path with the query, percent-encoded; only a slash if the request line cannot be parsed
     */
    public static String of(HttpServerRequest request) {
        String path = request.path();
        String query = request.query();
        if (path == null || path.isEmpty()) {
            return "/";
        }
        return query == null ? path : path + "?" + query;
    }
}
