package org.knapweedmount.daemon.settings;

import java.util.Objects;

/**
 * The HTTP server settings of a process: for callers at an entry, for endpoints at an agent.
 *
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, 0 for any free one
 * @param maxBodyBytes the largest request body, in bytes
 * @param maxConnections the largest number of open connections
 * @param maxConnectionsPerCaller the largest number of open connections from one IP address
 */
public record HttpSettings(String host, int port, int maxBodyBytes, int maxConnections, int maxConnectionsPerCaller) {
    /** Checks that the host is not null. */
    public HttpSettings {
        Objects.requireNonNull(host, "host");
    }

    /**
     * Creates settings without a limit per caller, as needed behind a load balancer.
     *
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, 0 for any free one
     * @param maxBodyBytes the largest request body, in bytes
     * @param maxConnections the largest number of open connections
     */
    public HttpSettings(String host, int port, int maxBodyBytes, int maxConnections) {
        this(host, port, maxBodyBytes, maxConnections, maxConnections);
    }
}
