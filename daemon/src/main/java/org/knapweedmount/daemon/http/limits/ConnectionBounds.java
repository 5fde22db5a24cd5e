package org.knapweedmount.daemon.http.limits;

/**
 * Bounds on the connections of callers.
 *
 * @param maxConnections the maximum number of open connections
 * @param maxPerAddress the maximum number of open connections from one IP address
 */
public record ConnectionBounds(int maxConnections, int maxPerAddress) {
    /**
     * The smallest VM has 2,212 descriptors: 200 are kept for files, about 150 for links, the store and other servers. A
     * balancer opens up to 800 connections, possibly from one address.
     */
    public static final ConnectionBounds DEFAULT = new ConnectionBounds(1_600, 1_400);
}
