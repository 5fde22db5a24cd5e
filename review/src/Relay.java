import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Passes on the connections between processes and an entry, and can reset them.
 *
 * <p>An entry tells its address to others; it is replaced by that of the relay, which has the same length, so that the
 * others connect to the relay again.
 */
final class Relay {
    private static final Pattern NAME = Pattern.compile("(agent|entry)-[0-9]+");

    private final String entryHost;
    private final int port;
    private final byte[] from;
    private final byte[] to;
    private final List<Connection> connections = new ArrayList<>();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();

    Relay(String host, int port, String entryHost, String from, String to) throws IOException {
        this.entryHost = entryHost;
        this.port = port;
        this.from = from.getBytes(StandardCharsets.UTF_8);
        this.to = to.getBytes(StandardCharsets.UTF_8);
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 128);
        thread(() -> {
            while (true) {
                accept(server.accept());
            }
        });
    }

    /** A relayed connection; the name of its opener is known once its first message, a hello, has been read. */
    private record Connection(Socket opener, Socket entry, AtomicReference<String> name) {
        void close() throws IOException {
            opener.close();
            entry.close();
        }
    }

    private interface Loop {
        void run() throws IOException;
    }

    private static void thread(Loop loop) {
        Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (IOException e) {
                // The connection has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(Socket opener) {
        thread(() -> {
            Socket entry = new Socket();
            try {
                entry.connect(new InetSocketAddress(entryHost, port), 1_000);
            } catch (IOException e) {
                opener.close();
                return;
            }
            opener.setTcpNoDelay(true);
            entry.setTcpNoDelay(true);
            Connection pair = new Connection(opener, entry, new AtomicReference<>(""));
            synchronized (connections) {
                connections.add(pair);
            }
            thread(() -> copy(opener, entry, pair));
            thread(() -> copy(entry, opener, pair));
        });
    }

    private void copy(Socket source, Socket target, Connection pair) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = source.getInputStream();
            OutputStream out = target.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (pair.name().get().isEmpty() && source == pair.opener()) {
                    Matcher hello = NAME.matcher(new String(buffer, 0, length, StandardCharsets.ISO_8859_1));
                    pair.name().set(hello.find() ? hello.group() : "unknown");
                }
                if (cut.contains(pair.name().get())) {
                    continue;
                }
                replace(buffer, length);
                out.write(buffer, 0, length);
                out.flush();
            }
        } finally {
            synchronized (connections) {
                connections.remove(pair);
            }
            pair.close();
        }
    }

    private void replace(byte[] bytes, int length) {
        for (int i = 0; i + from.length <= length; i++) {
            boolean found = true;
            for (int j = 0; j < from.length && found; j++) {
                found = bytes[i + j] == from[j];
            }
            if (found) {
                System.arraycopy(to, 0, bytes, i, to.length);
            }
        }
    }

    /** Drops all bytes between the entry and a process, or passes them on again. */
    void cut(String process, boolean dropped) throws IOException {
        if (dropped) {
            cut.add(process);
        } else {
            cut.remove(process);
            reset(process); // what was dropped is missing on the open connections
        }
    }

    /** Resets the connections of a process to the entry; returns how many. */
    int reset(String process) throws IOException {
        int count = 0;
        List<Connection> found;
        synchronized (connections) {
            found = List.copyOf(connections);
        }
        for (Connection pair : found) {
            if (pair.name().get().equals(process)) {
                pair.opener().setSoLinger(true, 0);
                pair.entry().setSoLinger(true, 0);
                pair.close();
                count++;
            }
        }
        return count;
    }
}
