import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy whose open connections can be made to deliver nothing more, without a reset, while new ones work. */
final class Proxy {
    private final InetSocketAddress target;
    private final ServerSocket server;
    private final List<Channel> channels = new CopyOnWriteArrayList<>();

    private static final class Channel {
        private volatile boolean silent;
    }

    Proxy(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.target = target;
        server = new ServerSocket(listen.getPort(), 200, listen.getAddress());
        Stage.daemonThreads("proxy").newThread(this::accept).start();
    }

    /** Silences the open connections; returns how many. */
    int silenceOpen() {
        channels.forEach(channel -> channel.silent = true);
        int count = channels.size();
        channels.clear();
        return count;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = server.accept();
                Socket far = new Socket(target.getAddress(), target.getPort());
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Channel channel = new Channel();
                channels.add(channel);
                copy(channel, near, far);
                copy(channel, far, near);
            } catch (IOException e) {
                return;
            }
        }
    }

    private void copy(Channel channel, Socket from, Socket to) {
        Stage.daemonThreads("proxy-copy").newThread(() -> {
            byte[] chunk = new byte[16_384];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int count = in.read(chunk); count >= 0; count = in.read(chunk)) {
                    if (!channel.silent) {
                        out.write(chunk, 0, count);
                    }
                }
            } catch (IOException e) {
                // The connection has ended.
            }
            if (!channel.silent) {
                channels.remove(channel);
                close(from);
                close(to);
            }
        }).start();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
