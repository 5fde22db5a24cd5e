package org.knapweedmount.standins.executor;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * A task that an executor has started and that has not ended.
 *
 * @param taskId the ID of the task
 * @param parameters the run time and resources that the task requested
 * @param request the request to respond to
 * @param body the body of the request
 */
record RunningTask(String taskId, TaskParameters parameters, HttpServerRequest request, Buffer body) {
    private record ResponseBody(String task, String echo) {}

    /**
     * Responds to the request with the task ID and the request body.
     *
     * @param status the HTTP status
     */
    void respond(int status) {
        JsonHttp.respond(request, status, new ResponseBody(taskId, body.toString()));
    }
}
