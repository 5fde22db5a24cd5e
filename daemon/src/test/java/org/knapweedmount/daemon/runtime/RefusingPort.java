package org.knapweedmount.daemon.runtime;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback port that refuses connections for as long as it is held and a test lets nobody listen on it.
 *
 * <p>The port stays bound. A port that was bound and closed again may be taken by another process at any moment, and a
 * server that was just closed may still accept what waits in its backlog.
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
