package org.knapweedmount.daemon.http;

/**
 * Limits on the memory use of an HTTP server.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxHeaderBytes the maximum total size of a request's headers, in bytes
 * @param maxConnections the maximum number of open connections
 * @param maxConnectionsPerCaller the maximum number of open connections from one IP address
 * @param maxPending the maximum number of requests that wait for an answer
 * @param maxBufferedBodyBytes the maximum total size of the bodies that are being received, in bytes
 * @param maxJobTasks the maximum number of tasks in one job
 * @param bodyTimeoutMillis the time within which a request body must arrive, in ms
 */
public record HttpLimits(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxConnections,
        int maxConnectionsPerCaller,
        int maxPending,
        int maxBufferedBodyBytes,
        int maxJobTasks,
        int bodyTimeoutMillis) {
    private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;
    private static final int DEFAULT_MAX_PENDING_REQUESTS = 50_000;
    private static final int DEFAULT_MAX_BUFFERED_BODY_BYTES = 64_000_000;
    private static final int DEFAULT_BODY_TIMEOUT_MILLIS = 10_000;

    /**
     * Creates limits with defaults for those that cannot be configured.
     *
     * @param maxBodyBytes the maximum size of a request body, in bytes
     * @param maxConnections the maximum number of open connections
     * @param maxConnectionsPerCaller the maximum number of open connections from one IP address
     * @param maxJobTasks the maximum number of tasks in one job
     * @return the limits
     */
    public static HttpLimits of(int maxBodyBytes, int maxConnections, int maxConnectionsPerCaller, int maxJobTasks) {
        return new HttpLimits(
                maxBodyBytes,
                DEFAULT_MAX_HEADER_BYTES,
                maxConnections,
                maxConnectionsPerCaller,
                DEFAULT_MAX_PENDING_REQUESTS,
                Math.max(maxBodyBytes, DEFAULT_MAX_BUFFERED_BODY_BYTES),
                maxJobTasks,
                DEFAULT_BODY_TIMEOUT_MILLIS);
    }
}
