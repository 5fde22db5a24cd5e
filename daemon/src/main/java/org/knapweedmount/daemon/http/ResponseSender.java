package org.knapweedmount.daemon.http;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Sends the response to one request on the event loop of its connection. */
public final class ResponseSender {
    private final Context context;
    private final HttpServerResponse serverResponse;
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
        this.serverResponse = request.response();
        this.closeAfterResponse = closeAfterResponse;
    }

    /**
     * Sends the response from any thread; drops it if the caller has disconnected.
     *
     * @param response the response
     */
    public void send(HttpResponse response) {
        onEventLoop(() -> sendNow(response));
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
     * @param response the response
     */
    public void sendNow(HttpResponse response) {
        if (serverResponse.closed() || serverResponse.ended()) {
            return;
        }
        serverResponse.setStatusCode(response.status());
        if (!response.contentType().isEmpty()) {
            serverResponse.putHeader("Content-Type", response.contentType());
        }
        for (Header header : response.headers()) {
            serverResponse.putHeader(header.name(), header.value());
        }
        if (closeAfterResponse && serverResponse.streamId() < 0) {
            serverResponse.putHeader("Connection", "close");
        }
        serverResponse.end(Buffer.buffer(response.body().bytes()));
    }

    /**
     * Sends the response and closes the connection without reading the rest of the request.
     *
     * @param response the response
     * @param request the request
     */
    public void sendAndClose(HttpResponse response, HttpServerRequest request) {
        if (serverResponse.closed() || serverResponse.ended()) {
            return;
        }
        if (request.isEnded() || serverResponse.streamId() >= 0) {
            sendNow(response);
            return;
        }
        serverResponse.putHeader("Connection", "close");
        sendNow(response);
        request.connection().close();
    }

    /**
     * Sets the action to run if the caller disconnects before the response is sent.
     *
     * @param action the action, which runs on the event loop of the connection
     */
    public void onDisconnect(Runnable action) {
        serverResponse.closeHandler(ignored -> action.run());
        serverResponse.exceptionHandler(ignored -> action.run());
    }
}
