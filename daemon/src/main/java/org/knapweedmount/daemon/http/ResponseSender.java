package org.knapweedmount.daemon.http;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Sends the response to one request on the event loop of its connection. */
public final class ResponseSender {
    private final Context context;
    private final HttpServerResponse response;
    private final boolean closeAfterResponse;

    /**
     * Creates the sender for a request that is handled on the current event loop.
     *
     * @param context the event loop
     * @param request the request
     * @param closeAfterResponse true to ask the caller to close the connection after the response
     */
    public ResponseSender(Context context, HttpServerRequest request, boolean closeAfterResponse) {
        this.context = context;
        this.response = request.response();
        this.closeAfterResponse = closeAfterResponse;
    }

    /**
     * Sends the response from any thread; drops it if the caller has disconnected.
     *
     * @param answer the response
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
     * Sends the response; drops it if the caller has disconnected. Must be called on the event loop of the connection.
     *
     * @param answer the response
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
     * Sends the response and closes the connection without reading the rest of the request.
     *
     * @param answer the response
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
     * Sets the action to run if the caller disconnects before the response is sent.
     *
     * @param action the action, which runs on the event loop of the connection
     */
    public void onDisconnect(Runnable action) {
        response.closeHandler(ignored -> action.run());
        response.exceptionHandler(ignored -> action.run());
    }
}
