package org.knapweedmount.daemon.http;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** The response to one request, sent from whatever thread on the event loop of its connection. */
public final class ResponseSender {
    private final Context context;
    private final HttpServerResponse response;
    private final boolean closeAfterResponse;

    /**
     * Creates the response to a request that is handled by the present event loop.
     *
     * @param context the event loop
     * @param request the request
     * @param closeAfterResponse true if the connection is to be closed by the caller after the answer
     */
    public ResponseSender(Context context, HttpServerRequest request, boolean closeAfterResponse) {
        this.context = context;
        this.response = request.response();
        this.closeAfterResponse = closeAfterResponse;
    }

    /**
     * Sends the answer; dropped if the caller has gone.
     *
     * @param answer the answer
     */
    public void send(HttpResponse answer) {
        onEventLoop(() -> sendNow(answer));
    }

    /**
     * Runs an action on the event loop of the connection.
     *
     * @param action the action
     */
    public void onEventLoop(Runnable action) {
        context.runOnContext(ignored -> action.run());
    }

    /**
     * Sends the answer on the event loop that it belongs to; dropped if the caller has gone.
     *
     * @param answer the answer
     */
    public void sendNow(HttpResponse answer) {
        if (response.closed() || response.ended()) {
            return;
        }
        response.setStatusCode(answer.status());
        if (!answer.contentType().isEmpty()) {
            response.putHeader("Content-Type", answer.contentType());
        }
        for (Header header : answer.headers()) {
            response.putHeader(header.name(), header.value());
        }
        if (closeAfterResponse && response.streamId() < 0) {
            response.putHeader("Connection", "close");
        }
        response.end(Buffer.buffer(answer.body().bytes()));
    }

    /**
     * Sends the answer and closes the connection, because the rest of the request is not wanted.
     *
     * @param answer the answer
     * @param request the request
     */
    public void sendAndClose(HttpResponse answer, HttpServerRequest request) {
        if (response.closed() || response.ended()) {
            return;
        }
        if (request.isEnded() || response.streamId() >= 0) {
            sendNow(answer);
            return;
        }
        response.putHeader("Connection", "close");
        sendNow(answer);
        request.connection().close();
    }

    /**
     * Sets what happens when the caller goes away before the answer.
     *
     * @param action the action, run on the event loop
     */
    public void onDisconnect(Runnable action) {
        response.closeHandler(ignored -> action.run());
        response.exceptionHandler(ignored -> action.run());
    }
}
