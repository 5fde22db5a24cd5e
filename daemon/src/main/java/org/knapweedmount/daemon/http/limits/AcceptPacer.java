package org.knapweedmount.daemon.http.limits;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.tinylog.Logger;

/**
 * Lets a listening socket accept connections only as fast as they are counted, and closed if they are too many. Otherwise
 * the thread that accepts gets ahead of the event loop in a burst, and the descriptors run out in spite of the bound on
 * connections. Connections that are not accepted wait in the kernel and take no descriptor.
 *
 * <p>Only for servers whose connections are reported before they send anything. Thread-safe.
 */
final class AcceptPacer {
    /** Connections that are accepted and not counted yet; one turn of a busy event loop counts that many. */
    private static final int MAX_UNCOUNTED = 64;

    /** The pause after a connection could not be accepted, in ms; without descriptors the socket stays readable. */
    private static final int FAILURE_PAUSE_MILLIS = 1_000;

    private final Map<Channel, Accepting> servers = new ConcurrentHashMap<>();

    /** Counts a connection, once the event loop has done what was decided about it. */
    void connected(Channel connection) {
        Channel server = connection.parent();
        if (server == null) {
            return;
        }
        Accepting accepting = servers.computeIfAbsent(server, Accepting::new);
        countLater(accepting, connection);
    }

    /**
     * Counts a connection in the next turn of its event loop: the descriptor of a closed connection is released only when the
     * selector runs again.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the step cannot fail
    private static void countLater(Accepting accepting, Channel connection) {
        if (!connection.eventLoop().isShuttingDown()) {
            connection.eventLoop().schedule(() -> accepting.counted(connection), 0, TimeUnit.NANOSECONDS);
        }
    }

    /** The connections that one listening socket has accepted and that are not counted. */
    private final class Accepting extends ChannelInboundHandlerAdapter {
        private final Channel server;
        private final Set<Channel> uncounted = ConcurrentHashMap.newKeySet();
        private volatile boolean pausing;

        Accepting(Channel server) {
            this.server = server;
            server.pipeline().addFirst(this);
            server.config().setAutoRead(false);
            server.closeFuture().addListener(closed -> servers.remove(server));
            server.read();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof Channel connection) {
                uncounted.add(connection);
                connection.closeFuture().addListener(closed -> countLater(this, connection));
            }
            context.fireChannelRead(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            context.fireChannelReadComplete();
            acceptMore();
        }

        @Override
        @SuppressWarnings("FutureReturnValueIgnored") // the step cannot fail
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (pausing) {
                return;
            }
            pausing = true;
            Logger.warn("connections of callers cannot be accepted: {}", cause.toString());
            // Only this takes back the read that was requested already.
            server.config().setAutoRead(true).setAutoRead(false);
            context.executor()
                    .schedule(
                            () -> {
                                pausing = false;
                                acceptMore();
                            },
                            FAILURE_PAUSE_MILLIS,
                            TimeUnit.MILLISECONDS);
        }

        void counted(Channel connection) {
            uncounted.remove(connection);
            acceptMore();
        }

        private void acceptMore() {
            if (!pausing && uncounted.size() < MAX_UNCOUNTED) {
                server.read();
            }
        }
    }
}
