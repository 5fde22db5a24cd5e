package org.knapweedmount.standins.relay;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadFactory;

import org.knapweedmount.api.Payload;
import org.knapweedmount.standins.support.HostPort;

/**
 * One connection through a relay, from a client to the target.
 *
 * <p>Each direction has one thread that reads and one that writes.
 */
final class RelayedConnection {
    private static final int BUFFER_BYTES = 16_384;

    private final RelayState state;
    private final Socket client;
    private final HostPort target;
    private final ThreadFactory threads;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile String firstBytes = "";

    RelayedConnection(RelayState state, Socket client, HostPort target, ThreadFactory threads) {
        this.state = state;
        this.client = client;
        this.target = target;
        this.threads = threads;
        sockets.add(client);
    }

    /** Connects to the target and relays bytes until both sides have closed their streams. */
    void run() {
        try {
            state.awaitNotStalled();
            relay();
        } catch (IOException e) {
            reset();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            reset();
        }
    }

    private void relay() throws IOException, InterruptedException {
        Socket targetSocket = connect();
        List<DelayedWriter> forwardWriters = new ArrayList<>(List.of(startWriter(targetSocket)));
        if (state.conditions().duplicate()) {
            Socket duplicateSocket = connect();
            forwardWriters.add(startWriter(duplicateSocket));
            start(() -> copy(duplicateSocket, List.of()));
        }
        Thread backwardThread = start(() -> copy(targetSocket, List.of(startWriter(client))));
        copy(client, forwardWriters);
        backwardThread.join();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(target.host(), target.port());
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        return socket;
    }

    private DelayedWriter startWriter(Socket destination) {
        DelayedWriter writer = new DelayedWriter(state, destination);
        start(writer);
        return writer;
    }

    private Thread start(Runnable task) {
        Thread thread = threads.newThread(task);
        thread.start();
        return thread;
    }

    /** Reads a socket to the end of its stream and enqueues the bytes with the writers. */
    private void copy(Socket source, List<DelayedWriter> writers) {
        try {
            InputStream in = source.getInputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (source == client && firstBytes.isEmpty()) {
                    firstBytes = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
                    resetIfCut();
                }
                Payload bytes = Payload.of(Arrays.copyOf(buffer, length));
                for (DelayedWriter writer : writers) {
                    writer.enqueue(bytes);
                }
            }
            for (DelayedWriter writer : writers) {
                writer.enqueueEnd();
            }
        } catch (IOException e) {
            reset();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resets the connection if the conditions require it; called again when the first bytes of the client are read. */
    void resetIfCut() {
        if (state.conditions().resetsConnection(firstBytes)) {
            reset();
        }
    }

    /** Resets the connections to the client and to the target. */
    void reset() {
        sockets.forEach(Sockets::reset);
    }
}
