package org.knapweedmount.api;

import java.util.Objects;

/**
 * A task as described by the caller.
 *
 * @param kind the name of the kind, which determines the service, the share and whether the task may be retried
 * @param method the HTTP method of the request to the endpoint
 * @param path the path and query of the request to the endpoint, starting with a slash
 * @param contentType the media type of the body, empty if there is no body
 * @param body the bytes sent to the endpoint
 * @param declaredMillis the run time that the caller expects, in ms, or 0 if it declared none
 * @param resources the resources that the task needs on a worker, as declared by the caller
 */
public record TaskSpec(
        String kind,
        String method,
        String path,
        String contentType,
        Payload body,
        int declaredMillis,
        Resources resources) {
    /** Checks that no component is null. */
    public TaskSpec {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(resources, "resources");
    }
}
