package org.knapweedmount.daemon.http.limits;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * The connections whose callers have sent a request before the answer to the last one. A bounded number of them goes on in
 * each turn of the event loop, so that callers which send one request after the other do not wait behind all of them.
 *
 * <p>Confined to its event loop.
 */
final class ResumeQueue {
    /** The number of connections that go on in one turn. */
    static final int MAX_RESUMED = 16;

    private final EventLoop eventLoop;
    private final Queue<RequestGate> waiting = new ArrayDeque<>();
    private boolean scheduled;

    ResumeQueue(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Adds a connection, which goes on in the next turn at the earliest. */
    void add(RequestGate gate) {
        waiting.add(gate);
        schedule();
    }

    /** Schedules the next turn, which comes after the sockets are read, as that of an executed task would not. */
    @SuppressWarnings("FutureReturnValueIgnored") // the step cannot fail
    private void schedule() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            eventLoop.schedule(this::run, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void run() {
        scheduled = false;
        for (int i = 0; i < MAX_RESUMED && !waiting.isEmpty(); i++) {
            waiting.remove().resume();
        }
        schedule();
    }
}
