package org.knapweedmount.daemon.http.limits;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** What one connection holds and how far its request is. Guarded by the account that it belongs to. */
final class ConnectionUse {
    /** The part of a request that is awaited. */
    enum Phase {
        /** No byte of a request has arrived. */
        IDLE,
        /** A part of a head has arrived. */
        HEAD,
        /** A head has arrived and its body has not ended. */
        BODY
    }

    final String address;
    final Consumer<Refusal> closer;
    Phase phase = Phase.IDLE;
    volatile boolean closing;
    /** Whether the parts of requests are reported; those of HTTP/2 are not. */
    boolean tracked = true;

    int unanswered;
    long answeredRequests;
    long headBytes;
    long bodyBytes;
    long bufferBytes;
    int skippedBytes;
    long phaseNanos;
    /** When the last byte arrived, or the connection was opened, in ns. */
    long lastReadNanos;
    /** Since when fewer bytes of a body than the required progress have arrived, in ns. */
    long progressNanos;

    int progressBytes;

    /**
     * Creates the use of a connection that was just opened.
     *
     * @param address the IP address of the caller
     * @param closer closes the connection with the given reason
     * @param nowNanos the current time, in ns
     */
    ConnectionUse(String address, Consumer<Refusal> closer, long nowNanos) {
        this.address = address;
        this.closer = closer;
        this.phaseNanos = nowNanos;
        this.lastReadNanos = nowNanos;
        this.progressNanos = nowNanos;
    }

    long heldBytes() {
        return headBytes + bodyBytes + bufferBytes;
    }

    /** Returns whether a part of a request has arrived. */
    boolean isReceiving() {
        return phase != Phase.IDLE || (!tracked && bodyBytes > 0);
    }

    void enter(Phase next, long nowNanos) {
        phase = next;
        phaseNanos = nowNanos;
        progressNanos = nowNanos;
        progressBytes = 0;
    }

    /** Returns a measure of what it holds and for how long nothing has arrived; 0 if it cannot give anything back. */
    double pressure(long nowNanos) {
        if (closing || !isReceiving()) {
            return 0;
        }
        long stalledMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - lastReadNanos));
        return (double) heldBytes() * (1 + stalledMillis);
    }
}
