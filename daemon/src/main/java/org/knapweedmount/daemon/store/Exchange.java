package org.knapweedmount.daemon.store;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ConnectionPoolTooBusyException;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;

/** One request to the platform with a timeout; its result states whether the request was sent. */
public final class Exchange {
    /** How an exchange ended. */
    public enum End {
        /** The complete response has arrived. */
        ANSWERED,
        /** The request was not sent because too many others are queued. */
        BUSY,
        /** The request was not sent because no connection was established. */
        NOT_SENT,
        /** The request was sent and its response did not arrive. */
        LOST
    }

    /**
     * The result of an exchange.
     *
     * @param end how the exchange ended
     * @param status the HTTP status, 0 if it was not answered
     * @param body the body, empty if it was not answered
     */
    public record Result(End end, int status, Buffer body) {
        private static Result unanswered(End end) {
            return new Result(end, 0, Buffer.buffer());
        }
    }

    private final Vertx vertx;
    private final Runnable timeoutListener;
    private final Promise<Result> promise = Promise.promise();
    private HttpClientRequest sentRequest;
    private boolean completed;
    private long timer;

    /**
     * Creates an exchange without starting it.
     *
     * @param vertx the Vert.x instance that runs the timer
     */
    public Exchange(Vertx vertx) {
        this(vertx, () -> {});
    }

    /**
     * Creates an exchange without starting it.
     *
     * @param vertx the Vert.x instance that runs the timer
     * @param timeoutListener is called before the exchange completes if it ends by its timeout
     */
    public Exchange(Vertx vertx, Runnable timeoutListener) {
        this.vertx = vertx;
        this.timeoutListener = timeoutListener;
    }

    /**
     * Sends the request; may be called once.
     *
     * @param client the client that sends it
     * @param options the request line and further headers
     * @param body the body, empty for none
     * @param timeoutMillis the timeout, in ms
     * @return the result; never fails
     */
    public Future<Result> run(HttpClient client, RequestOptions options, Buffer body, int timeoutMillis) {
        timer = vertx.setTimer(timeoutMillis, fired -> timedOut());
        client.request(options).onComplete(connected -> {
            if (connected.failed()) {
                boolean busy = connected.cause() instanceof ConnectionPoolTooBusyException;
                complete(Result.unanswered(busy ? End.BUSY : End.NOT_SENT));
                return;
            }
            send(connected.result(), body);
        });
        return promise.future();
    }

    private void send(HttpClientRequest request, Buffer body) {
        if (completed) {
            request.reset();
            return;
        }
        sentRequest = request;
        request.send(body).compose(Exchange::result).onComplete(answered -> {
            complete(answered.succeeded() ? answered.result() : Result.unanswered(End.LOST));
        });
    }

    private static Future<Result> result(HttpClientResponse response) {
        return response.body().map(body -> new Result(End.ANSWERED, response.statusCode(), body));
    }

    private void timedOut() {
        timeoutListener.run();
        if (sentRequest == null) {
            complete(Result.unanswered(End.NOT_SENT));
            return;
        }
        complete(Result.unanswered(End.LOST));
        sentRequest.reset();
    }

    private void complete(Result result) {
        if (completed) {
            return;
        }
        completed = true;
        vertx.cancelTimer(timer);
        promise.complete(result);
    }
}
