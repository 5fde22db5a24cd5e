package org.knapweedmount.api;

import java.util.Objects;

/**
 * One task as the caller describes it.
 *
 * @param kind the name of the kind, which decides the service, the share and whether the task is repeatable
 * @param method the HTTP method used towards the endpoint
 * @param path the path and query used towards the endpoint, starting with a slash
 * @param contentType the media type of the body, empty if there is no body
 * @param body the bytes sent to the endpoint
 * @param declaredMillis the run time that the caller expects, in ms, or 0 if it gave none
 * @param resources what the caller says the task needs of a worker
 */
public record TaskSpec(
        String kind,
        String method,
        String path,
        String contentType,
        Payload body,
        int declaredMillis,
        Resources resources) {
    /** Checks that nothing is missing. */
    public TaskSpec {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(resources, "resources");
    }
}
