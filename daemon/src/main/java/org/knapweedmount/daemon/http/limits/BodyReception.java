package org.knapweedmount.daemon.http.limits;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Collects one body in memory of its own, so that no read buffer is kept; one that nobody has asked for is dropped. Confined
 * to the event loop of its connection.
 */
final class BodyReception {
    private static final int FIRST_CAPACITY = 256;
    private static final byte[] EMPTY = {};

    private final CallerLimiter limiter;
    private final CallerAccount account;
    private final ConnectionUse use;
    private final Promise<ReceivedBody> promise = Promise.promise();
    private byte[] collected = EMPTY;
    private int length;
    private boolean wanted;

    BodyReception(CallerLimiter limiter, CallerAccount account, ConnectionUse use) {
        this.limiter = limiter;
        this.account = account;
        this.use = use;
    }

    /** Returns the body once it is complete; fails if the connection is closed before. Must be called before any part. */
    Future<ReceivedBody> future() {
        wanted = true;
        return promise.future();
    }

    /** Adds a part of the body; the connection is closed if the body becomes too large. */
    void add(ByteBuf part) {
        int needed = length + part.readableBytes();
        int maxBytes = account.limits().request().maxBodyBytes();
        if (needed > maxBytes) {
            limiter.execute(account.refuse(use, Refusal.BODY_TOO_LARGE));
            return;
        }
        if (wanted && needed > collected.length) {
            int capacity = Math.min(maxBytes, Math.max(FIRST_CAPACITY, Integer.highestOneBit(needed - 1) << 1));
            limiter.execute(account.holdBody(use, capacity - collected.length, limiter.nanos()));
            if (use.closing) {
                return;
            }
            collected = Arrays.copyOf(collected, capacity);
        }
        if (wanted) {
            part.readBytes(collected, length, needed - length);
        }
        length = needed;
    }

    void complete() {
        if (!wanted) {
            return;
        }
        byte[] body = length == collected.length ? collected : Arrays.copyOf(collected, length);
        collected = EMPTY;
        promise.tryComplete(new ReceivedBody(body, account.detachBody(use), account));
    }

    void fail(Throwable cause) {
        collected = EMPTY;
        promise.tryFail(cause);
    }
}
