package org.knapweedmount.daemon.http.limits;

/**
 * All limits for callers.
 *
 * @param request the limits of a single request
 * @param connections the bounds on connections
 * @param memory the bounds on held bytes
 */
public record CallerLimits(RequestLimits request, ConnectionBounds connections, MemoryBounds memory) {
    /** Limits that no caller inside the limits reaches. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(RequestLimits.DEFAULT, ConnectionBounds.DEFAULT, MemoryBounds.DEFAULT);

    /** Limits of a server that only processes of the site call, such as a load balancer or a worker. */
    public static final CallerLimits INTERNAL = new CallerLimits(
            RequestLimits.DEFAULT, new ConnectionBounds(32, 24), new MemoryBounds(4_000_000, 3_000_000, 600_000));

    /**
     * Returns these limits with those of a configuration in place of the own ones.
     *
     * @param configured the limits that are known from the configuration
     * @return the limits in force
     */
    public CallerLimits with(RequestLimits.Configured configured) {
        return new CallerLimits(request.with(configured), connections, memory);
    }

    /** Returns the share of a connection in bytes: at least one request at the limits and its trailer. */
    long connectionShare() {
        long linesBytes = 2 * MemoryBounds.maxLinesBytes(request.maxHeaderBytes());
        return Math.max(memory.maxPerConnection(), request.maxBodyBytes() + linesBytes);
    }
}
