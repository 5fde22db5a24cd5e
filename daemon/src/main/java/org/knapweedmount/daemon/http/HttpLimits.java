package org.knapweedmount.daemon.http;

/**
 * What bounds the memory of the HTTP interface for callers.
 *
 * @param maxBodyBytes the largest body of a request, in bytes
 * @param maxHeaderBytes the largest total size of a request's headers, in bytes
 * @param maxConnections the number of open connections
 * @param maxConnectionsPerCaller the number of open connections from one IP number
 * @param maxPending the number of requests that wait for an answer
 * @param maxBufferedBodyBytes the total size of the bodies that are being received, in bytes
 * @param maxJobTasks the number of tasks of one job
 * @param bodyTimeoutMillis how long a request's body may take to arrive, in ms
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
     * Creates limits with defaults for what the settings do not name.
     *
     * @param maxBodyBytes the largest body of a request, in bytes
     * @param maxConnections the number of open connections
     * @param maxConnectionsPerCaller the number of open connections from one IP number
     * @param maxJobTasks the number of tasks of one job
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
