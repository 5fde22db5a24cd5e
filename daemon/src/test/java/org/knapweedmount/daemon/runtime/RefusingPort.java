package org.knapweedmount.daemon.runtime;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback port that refuses connections while it is bound and no server of the test listens on it.
 *
 * <p>The port stays bound, because a port that was released may be taken by another process at any time, and a server
 * that was just closed may still accept connections from its backlog.
 */
public final class RefusingPort implements AutoCloseable {
    private final Socket bound = new Socket();

    /**
     * Binds the port.
     *
     * @throws IOException if no port is free
     */
    public RefusingPort() throws IOException {
        bound.setReuseAddress(true);
        bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /**
     * Returns the port.
     *
     * @return the TCP port
     */
    public int port() {
        return bound.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        bound.close();
    }
}
