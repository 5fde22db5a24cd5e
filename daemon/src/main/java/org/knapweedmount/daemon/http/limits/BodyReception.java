package org.knapweedmount.daemon.http.limits;

import java.util.Arrays;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Collects one body in memory of its own, so that no read buffer is kept. Confined to the event loop of its connection. */
final class BodyReception {
    private static final int FIRST_CAPACITY = 256;
    private static final byte[] EMPTY = {};

    private final CallerLimiter limiter;
    private final CallerAccount account;
    private final ConnectionUse use;
    private final Promise<ReceivedBody> promise = Promise.promise();
    private byte[] collected = EMPTY;
    private int length;
    private boolean ended;

    BodyReception(CallerLimiter limiter, CallerAccount account, ConnectionUse use) {
        this.limiter = limiter;
        this.account = account;
        this.use = use;
    }

    Future<ReceivedBody> start(HttpServerRequest request) {
        request.exceptionHandler(this::fail);
        if (declaredLength(request) > account.limits().request().maxBodyBytes()) {
            refuse();
            return promise.future();
        }
        request.handler(this::chunkReceived);
        request.endHandler(ignored -> complete());
        return promise.future();
    }

    private static long declaredLength(HttpServerRequest request) {
        String length = request.getHeader("Content-Length");
        boolean digits = length != null && length.matches("[0-9]{1,18}");
        return digits ? Long.parseLong(length) : 0;
    }

    private void chunkReceived(Buffer chunk) {
        if (ended) {
            return;
        }
        int needed = length + chunk.length();
        int maxBytes = account.limits().request().maxBodyBytes();
        if (needed > maxBytes) {
            refuse();
            return;
        }
        if (needed > collected.length) {
            int capacity = Math.min(maxBytes, Math.max(FIRST_CAPACITY, Integer.highestOneBit(needed - 1) << 1));
            limiter.execute(account.holdBody(use, capacity - collected.length, limiter.nanos()));
            if (use.closing) {
                fail(new IllegalStateException("the connection is closed"));
                return;
            }
            collected = Arrays.copyOf(collected, capacity);
        }
        chunk.getBytes(0, chunk.length(), collected, length);
        length = needed;
    }

    private void refuse() {
        limiter.execute(account.refuse(use, Refusal.BODY_TOO_LARGE));
        fail(new IllegalStateException("the body is too large"));
    }

    private void fail(Throwable cause) {
        ended = true;
        collected = EMPTY;
        promise.tryFail(cause);
    }

    private void complete() {
        if (ended) {
            return;
        }
        ended = true;
        byte[] body = length == collected.length ? collected : Arrays.copyOf(collected, length);
        collected = EMPTY;
        promise.complete(new ReceivedBody(body, account.detachBody(use), account));
    }
}
