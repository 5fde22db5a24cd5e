package org.knapweedmount.standins.executor;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * A task that an executor has started.
 *
 * @param taskId the task's id
 * @param parameters what the task asks for
 * @param request the request to answer
 * @param body the body of the request
 */
record RunningTask(String taskId, TaskParameters parameters, HttpServerRequest request, Buffer body) {
    private record ResponseBody(String task, String echo) {}

    /**
     * Answers the request.
     *
     * @param status the HTTP status
     */
    void respond(int status) {
        JsonHttp.respond(request, status, new ResponseBody(taskId, body.toString()));
    }
}
