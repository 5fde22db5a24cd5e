package org.knapweedmount.daemon.agent;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Reads the body of an endpoint's response up to a maximum size. */
final class ResponseBodyReader {
    private final HttpClientResponse response;
    private final int maxBytes;
    private final Buffer received = Buffer.buffer();
    private final Promise<Buffer> promise = Promise.promise();

    /** Indicates that a response body is larger than this process can forward. */
    static final class ResponseTooLargeException extends Exception {
        private static final long serialVersionUID = 1L;

        private ResponseTooLargeException(int maxBytes) {
            super("response body exceeds the limit of " + maxBytes + " bytes");
        }
    }

    private ResponseBodyReader(HttpClientResponse response, int maxBytes) {
        this.response = response;
        this.maxBytes = maxBytes;
    }

    /** Reads a body; must be called before the handler of the response returns. */
    static Future<Buffer> receive(HttpClientResponse response, int maxBytes) {
        return new ResponseBodyReader(response, maxBytes).start();
    }

    private Future<Buffer> start() {
        response.handler(this::received);
        response.endHandler(ignored -> promise.tryComplete(received));
        response.exceptionHandler(promise::tryFail);
        return promise.future();
    }

    private void received(Buffer chunk) {
        if (received.length() + chunk.length() <= maxBytes) {
            received.appendBuffer(chunk);
            return;
        }
        if (promise.tryFail(new ResponseTooLargeException(maxBytes))) {
            response.request().reset();
        }
    }
}
