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
 * One connection through a relay.
 *
 * <p>It has a thread to read and one to write for each direction.
 */
final class RelayedConnection {
    private static final int BUFFER_BYTES = 16_384;

    private final RelayGate gate;
    private final Socket opener;
    private final HostPort target;
    private final ThreadFactory threads;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile String opening = "";

    RelayedConnection(RelayGate gate, Socket opener, HostPort target, ThreadFactory threads) {
        this.gate = gate;
        this.opener = opener;
        this.target = target;
        this.threads = threads;
        sockets.add(opener);
    }

    /** Connects to the target and relays until both sides have ended. */
    void run() {
        try {
            gate.awaitPassing();
            relay();
        } catch (IOException e) {
            reset();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            reset();
        }
    }

    private void relay() throws IOException, InterruptedException {
        Socket target1 = connect();
        List<DelayLine> forward = new ArrayList<>(List.of(line(target1)));
        if (gate.conditions().duplicate()) {
            Socket target2 = connect();
            forward.add(line(target2));
            start(() -> pump(target2, List.of()));
        }
        Thread back = start(() -> pump(target1, List.of(line(opener))));
        pump(opener, forward);
        back.join();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(target.host(), target.port());
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        return socket;
    }

    private DelayLine line(Socket destination) {
        DelayLine line = new DelayLine(gate, destination);
        start(line);
        return line;
    }

    private Thread start(Runnable duty) {
        Thread thread = threads.newThread(duty);
        thread.start();
        return thread;
    }

    /** Reads a socket to its end and hands the bytes to lines. */
    private void pump(Socket source, List<DelayLine> lines) {
        try {
            InputStream in = source.getInputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (source == opener && opening.isEmpty()) {
                    opening = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
                    resetIfCut();
                }
                Payload bytes = Payload.of(Arrays.copyOf(buffer, length));
                for (DelayLine line : lines) {
                    line.accept(bytes);
                }
            }
            for (DelayLine line : lines) {
                line.end();
            }
        } catch (IOException e) {
            reset();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resets the connection if the conditions say so; one that has sent nothing yet is judged by its first bytes. */
    void resetIfCut() {
        if (gate.conditions().cuts(opening)) {
            reset();
        }
    }

    /** Resets the connections to both sides. */
    void reset() {
        sockets.forEach(Sockets::reset);
    }
}
