package org.knapweedmount.daemon.http;

import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpServerOptions;

/** The options of the HTTP servers. */
public final class ServerOptions {
    private static final int MAX_REQUEST_LINE_BYTES = 8_192;
    private static final int MAX_STREAMS_PER_CONNECTION = 1_000;
    private static final int IDLE_TIMEOUT_SECONDS = 300;

    private ServerOptions() {}

    /**
     * Creates options for HTTP/1.1 and for HTTP/2 without TLS.
     *
     * @param limits the limits on the server's memory use
     * @return the options
     */
    public static HttpServerOptions of(HttpLimits limits) {
        HttpServerOptions options = new HttpServerOptions();
        options.setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES);
        options.setMaxHeaderSize(limits.maxHeaderBytes());
        options.setMaxFormAttributeSize(limits.maxBodyBytes());
        options.setHttp2ClearTextEnabled(true);
        options.setInitialSettings(new Http2Settings()
                .setMaxConcurrentStreams(MAX_STREAMS_PER_CONNECTION)
                .setMaxHeaderListSize(limits.maxHeaderBytes()));
        options.setIdleTimeout(IDLE_TIMEOUT_SECONDS);
        options.setHandle100ContinueAutomatically(true);
        options.setTcpNoDelay(true);
        return options;
    }
}
