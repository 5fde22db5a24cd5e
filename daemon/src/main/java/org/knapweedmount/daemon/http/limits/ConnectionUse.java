package org.knapweedmount.daemon.http.limits;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** What one connection holds and how far its request is. Guarded by the account that it belongs to. */
final class ConnectionUse {
    /** The part of a request that is awaited. */
    enum Phase {
        /** No byte of a request has arrived since the last one was received. */
        IDLE,
        /** A part of a head has arrived. */
        HEAD,
        /** A head has arrived and its body has not ended. */
        BODY
    }

    /** A connection is only closed for a new one if its request has not come nearer to its end for this time, in ms. */
    private static final int MIN_STALL_MILLIS = 1_000;

    /** The same for one that waits for its caller's next request, in ms. */
    private static final int MIN_IDLE_MILLIS = 10_000;

    /** What a connection may hold while its request is served, without being closed under pressure, in bytes. */
    private static final int MAX_EXECUTING_BYTES = 32 * 1_024;

    final String address;
    final Consumer<Refusal> closer;
    Phase phase = Phase.IDLE;
    volatile boolean closing;

    int unanswered;
    long answeredRequests;
    /** Whether an answer is written of which the operating system has not taken all. */
    boolean answerUnread;

    long headBytes;
    long bodyBytes;
    long answerBytes;
    /** The memory of what was received and does not make up a part of a request. */
    long undecodedBytes;

    /** What it still holds although it is to be closed. */
    long closingBytes;

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
        return headBytes + bodyBytes + answerBytes + undecodedBytes;
    }

    void clearHeldBytes() {
        headBytes = 0;
        bodyBytes = 0;
        answerBytes = 0;
        undecodedBytes = 0;
    }

    /** Returns whether a part of a request has arrived. */
    boolean isReceiving() {
        return phase != Phase.IDLE;
    }

    /** Returns whether a whole request has arrived and its answer is not sent. */
    boolean awaitsAnswer() {
        return phase == Phase.IDLE && (unanswered > 0 || answerUnread);
    }

    void enter(Phase next, long nowNanos) {
        phase = next;
        phaseNanos = nowNanos;
        progressNanos = nowNanos;
        progressBytes = 0;
    }

    /** Returns whether the connection may be closed for a new one. */
    boolean isStalled(long nowNanos) {
        boolean executing = phase == Phase.IDLE && unanswered > 0;
        if (closing || executing) {
            return false;
        }
        boolean served = phase == Phase.IDLE && answeredRequests > 0 && !answerUnread;
        int minMillis = served ? MIN_IDLE_MILLIS : MIN_STALL_MILLIS;
        return nowNanos - stalledSince() >= TimeUnit.MILLISECONDS.toNanos(minMillis);
    }

    /** Returns since when the request has not come nearer to its end, in ns. */
    long stalledSince() {
        return phase == Phase.BODY ? lastReadNanos : phaseNanos;
    }

    /** Returns a measure of what it holds and for how long nothing has arrived; 0 if it cannot give anything back. */
    double pressure(long nowNanos) {
        long sinceNanos = isReceiving() ? lastReadNanos : phaseNanos;
        long stalledMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos));
        boolean answerStalled = answerUnread && stalledMillis >= MIN_STALL_MILLIS;
        boolean large = heldBytes() > MAX_EXECUTING_BYTES;
        if (closing || !(isReceiving() || answerStalled || large)) {
            return 0;
        }
        return (double) heldBytes() * (1 + stalledMillis);
    }

    /** Returns why the connection is to be closed if its time has run out. */
    Optional<Refusal> reasonOverdue(RequestLimits limits, long nowNanos) {
        return switch (phase) {
            case HEAD -> elapsed(phaseNanos, limits.headMillis(), nowNanos, Refusal.HEAD_TIMEOUT);
            case BODY -> elapsed(progressNanos, limits.bodyProgressMillis(), nowNanos, Refusal.BODY_TIMEOUT);
            case IDLE -> {
                if (answerUnread) {
                    yield elapsed(phaseNanos, limits.answerMillis(), nowNanos, Refusal.ANSWER_UNREAD);
                }
                yield unanswered > 0
                        ? Optional.empty()
                        : elapsed(phaseNanos, limits.idleMillis(), nowNanos, Refusal.IDLE);
            }
        };
    }

    private static Optional<Refusal> elapsed(long sinceNanos, int limitMillis, long nowNanos, Refusal reason) {
        return nowNanos - sinceNanos > TimeUnit.MILLISECONDS.toNanos(limitMillis)
                ? Optional.of(reason)
                : Optional.empty();
    }
}
