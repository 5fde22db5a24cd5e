package org.knapweedmount.daemon.agent;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Pattern;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;

/**
 * The HTTP request that sends a task to an endpoint.
 *
 * <p>The result is not-run only if nothing was written to the endpoint. Once the request has been started, the outcome
 * is unknown unless a complete response arrives.
 */
final class TaskRequest {
    /** The header that carries the ID of the task. */
    static final String TASK_HEADER = "Knapweedmount-Task";

    /** The maximum time without data from the endpoint, in ms. */
    static final long IDLE_TIMEOUT_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
    private static final Pattern PATH = Pattern.compile("/[\\x21-\\x7e]*");
    private static final Pattern CONTENT_TYPE = Pattern.compile("[\\x20-\\x7e]*");
    private static final int FIRST_ERROR_STATUS = 400;

    private final TaskId task;
    private final TaskSpec spec;
    private final int maxResponseBytes;

    TaskRequest(TaskId task, TaskSpec spec, int maxResponseBytes) {
        this.task = task;
        this.spec = spec;
        this.maxResponseBytes = maxResponseBytes;
    }

    /** Sends the task; the returned future never fails. */
    Future<TaskResult> run(HttpClient client) {
        if (!isWellFormed()) {
            return Future.succeededFuture(TaskResult.of(Outcome.NOT_RUN, Reason.MALFORMED));
        }
        TaskResult unreachable = TaskResult.of(Outcome.NOT_RUN, Reason.ENDPOINT_UNREACHABLE);
        return client.request(options()).compose(this::send, failure -> Future.succeededFuture(unreachable));
    }

    private boolean isWellFormed() {
        return METHOD.matcher(spec.method()).matches()
                && PATH.matcher(spec.path()).matches()
                && CONTENT_TYPE.matcher(spec.contentType()).matches();
    }

    private RequestOptions options() {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.valueOf(spec.method()))
                .setURI(spec.path())
                .setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        options.putHeader(TASK_HEADER, task.toString());
        if (!spec.contentType().isEmpty()) {
            options.putHeader("Content-Type", spec.contentType());
        }
        return options;
    }

    private Future<TaskResult> send(HttpClientRequest request) {
        return request.send(Buffer.buffer(spec.body().bytes()))
                .compose(this::readResponse)
                .otherwise(TaskRequest::unknownResult);
    }

    private Future<TaskResult> readResponse(HttpClientResponse response) {
        int status = response.statusCode();
        String contentType = response.getHeader("Content-Type");
        return ResponseBodyReader.receive(response, maxResponseBytes)
                .map(body -> result(status, contentType == null ? "" : contentType, Payload.of(body.getBytes())))
                .recover(failure -> failure instanceof ResponseBodyReader.ResponseTooLargeException
                        ? Future.succeededFuture(tooLargeResult(status))
                        : Future.failedFuture(failure));
    }

    private static TaskResult result(int status, String contentType, Payload body) {
        if (status < FIRST_ERROR_STATUS) {
            return TaskResult.complete(status, contentType, body);
        }
        return new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, status, contentType, body);
    }

    private static TaskResult tooLargeResult(int status) {
        return new TaskResult(Outcome.FAILED, Reason.TOO_LARGE, status, "", Payload.EMPTY);
    }

    private static TaskResult unknownResult(Throwable failure) {
        Reason reason = failure instanceof TimeoutException ? Reason.TIMEOUT : Reason.CONNECTION_LOST;
        return TaskResult.of(Outcome.UNKNOWN, reason);
    }
}
