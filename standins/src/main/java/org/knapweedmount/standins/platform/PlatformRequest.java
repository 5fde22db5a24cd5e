package org.knapweedmount.standins.platform;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * A request to the platform.
 *
 * @param method the HTTP method
 * @param path the path without the query, decoded
 * @param query what a list of rows is limited to
 * @param body the body
 */
public record PlatformRequest(HttpMethod method, String path, RowQuery query, Buffer body) {
    /**
     * Tells whether the request changes anything.
     *
     * @return true for all methods but GET
     */
    public boolean isWrite() {
        return !method.equals(HttpMethod.GET);
    }
}
