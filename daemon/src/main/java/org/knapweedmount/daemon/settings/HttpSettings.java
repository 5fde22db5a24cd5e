package org.knapweedmount.daemon.settings;

import java.util.Objects;

/**
 * Where a process listens for HTTP requests: of callers at an entry, of endpoints at an agent.
 *
 * @param host the IP number to listen on
 * @param port the TCP port to listen on, 0 for any free one
 * @param maxBodyBytes the largest body of a request, in bytes
 * @param maxConnections the number of connections that are open at a time
 * @param maxConnectionsPerCaller the number of connections from one IP number that are open at a time
 */
public record HttpSettings(String host, int port, int maxBodyBytes, int maxConnections, int maxConnectionsPerCaller) {
    /** Checks that nothing is missing. */
    public HttpSettings {
        Objects.requireNonNull(host, "host");
    }

    /**
     * Creates settings that let one caller use all connections, as behind a balancer.
     *
     * @param host the IP number to listen on
     * @param port the TCP port to listen on, 0 for any free one
     * @param maxBodyBytes the largest body of a request, in bytes
     * @param maxConnections the number of connections that are open at a time
     */
    public HttpSettings(String host, int port, int maxBodyBytes, int maxConnections) {
        this(host, port, maxBodyBytes, maxConnections, maxConnections);
    }
}
