package org.knapweedmount.standins.platform;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * An HTTP request to the platform.
 *
 * @param method the HTTP method
 * @param path the decoded path without the query
 * @param query the filter and limit for listing rows
 * @param body the request body
 */
public record PlatformRequest(HttpMethod method, String path, RowQuery query, Buffer body) {
    /**
     * Returns whether the request is a write.
     *
     * @return true for all methods but GET
     */
    public boolean isWrite() {
        return !method.equals(HttpMethod.GET);
    }
}
