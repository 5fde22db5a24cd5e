package org.knapweedmount.standins.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.locks.LockSupport;

import org.knapweedmount.api.Payload;

/**
 * Writes bytes to a socket with a delay after they were read.
 *
 * <p>The thread sleeps until shortly before the due time and then spins, since sleeping alone is late by about 50 µs.
 */
final class DelayedWriter implements Runnable {
    private static final int MAX_QUEUED_CHUNKS = 256;
    private static final long MAX_SPIN_NANOS = 80_000;

    private final RelayState state;
    private final Socket destination;
    private final BlockingQueue<Chunk> chunks = new ArrayBlockingQueue<>(MAX_QUEUED_CHUNKS);

    /** Bytes and the time at which to write them; an empty payload marks the end of the stream. */
    private record Chunk(long dueNanos, Payload bytes) {}

    DelayedWriter(RelayState state, Socket destination) {
        this.state = state;
        this.destination = destination;
    }

    /** Enqueues bytes that have just been read; blocks while {@link #MAX_QUEUED_CHUNKS} chunks are queued. */
    void enqueue(Payload bytes) throws InterruptedException {
        chunks.put(new Chunk(System.nanoTime() + state.delayNanos(), bytes));
    }

    /** Enqueues the end of the stream. */
    void enqueueEnd() throws InterruptedException {
        enqueue(Payload.EMPTY);
    }

    @Override
    public void run() {
        try {
            while (write(chunks.take())) {
                // continues with the next chunk
            }
            destination.shutdownOutput();
        } catch (IOException e) {
            Sockets.closeQuietly(destination);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean write(Chunk chunk) throws IOException, InterruptedException {
        awaitDueTime(chunk.dueNanos);
        state.awaitNotStalled();
        if (chunk.bytes.size() == 0) {
            return false;
        }
        destination.getOutputStream().write(chunk.bytes.bytes());
        return true;
    }

    private static void awaitDueTime(long dueNanos) {
        long leftNanos = dueNanos - System.nanoTime();
        while (leftNanos > 0) {
            if (leftNanos > MAX_SPIN_NANOS) {
                LockSupport.parkNanos(leftNanos - MAX_SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
            leftNanos = dueNanos - System.nanoTime();
        }
    }
}
