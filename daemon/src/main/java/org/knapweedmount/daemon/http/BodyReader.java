package org.knapweedmount.daemon.http;

import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.Reason;

/** Receives request bodies within limits of size, time and total memory. */
public final class BodyReader {
    private final Vertx vertx;
    private final HttpLimits limits;
    private final AtomicLong bufferedBytes = new AtomicLong();

    /**
     * Creates a reader.
     *
     * @param vertx the Vert.x instance that runs the timers
     * @param limits the limits
     */
    public BodyReader(Vertx vertx, HttpLimits limits) {
        this.vertx = vertx;
        this.limits = limits;
    }

    /**
     * Receives a body. Must be called on the event loop of the request, before the request handler returns.
     *
     * @param request the request
     * @return the body; fails with {@link ProblemException} if it is too large or too slow, or at the memory limit
     */
    public Future<Buffer> read(HttpServerRequest request) {
        if (declaredLength(request) > limits.maxBodyBytes()) {
            return Future.failedFuture(tooLarge());
        }
        return new BodyReceiver(request).start();
    }

    private static long declaredLength(HttpServerRequest request) {
        String length = request.getHeader("Content-Length");
        boolean digits = length != null && length.matches("[0-9]{1,18}");
        return digits ? Long.parseLong(length) : 0;
    }

    private ProblemException tooLarge() {
        String detail = "the request body exceeds the limit of " + limits.maxBodyBytes() + " bytes";
        return new ProblemException(Problem.of(Reason.TOO_LARGE, detail));
    }

    /** Receives one body. */
    private final class BodyReceiver {
        private final HttpServerRequest request;
        private final Promise<Buffer> promise = Promise.promise();
        private final Buffer body = Buffer.buffer();
        private long timer;
        private boolean ended;

        BodyReceiver(HttpServerRequest request) {
            this.request = request;
        }

        Future<Buffer> start() {
            timer = vertx.setTimer(limits.bodyTimeoutMillis(), fired -> timedOut());
            request.handler(this::chunkReceived);
            request.endHandler(ignored -> end(() -> promise.tryComplete(body)));
            request.exceptionHandler(cause -> end(() -> promise.tryFail(cause)));
            return promise.future();
        }

        private void chunkReceived(Buffer chunk) {
            if (ended) {
                return;
            }
            if (body.length() + chunk.length() > limits.maxBodyBytes()) {
                fail(tooLarge());
                return;
            }
            body.appendBuffer(chunk);
            if (bufferedBytes.addAndGet(chunk.length()) > limits.maxBufferedBodyBytes()) {
                fail(new ProblemException(
                        Problem.of(Reason.OVERLOADED, "the memory limit for request bodies is reached")));
            }
        }

        private void timedOut() {
            String detail = "the request body did not arrive within " + limits.bodyTimeoutMillis() + " ms";
            fail(new ProblemException(Problem.of(HttpFault.REQUEST_TIMEOUT, detail)));
        }

        private void fail(ProblemException problem) {
            end(() -> promise.tryFail(problem));
        }

        private void end(Runnable result) {
            if (ended) {
                return;
            }
            ended = true;
            vertx.cancelTimer(timer);
            bufferedBytes.addAndGet(-body.length());
            result.run();
        }
    }
}
