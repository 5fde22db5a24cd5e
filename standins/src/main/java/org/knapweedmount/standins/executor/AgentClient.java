package org.knapweedmount.standins.executor;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.api.Resources;
import org.knapweedmount.standins.support.HostPort;
import org.knapweedmount.standins.support.JsonHttp;

/** The requests that an endpoint makes of its agent. */
public final class AgentClient {
    private static final int REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final int NO_CONTENT = 204;

    private final HttpClient client;
    private final HostPort agent;
    private final String path;

    private record Usage(String kind, Resources resources) {}

    /**
     * Creates a client.
     *
     * @param vertx whose event loops do the I/O
     * @param agent where the agent listens
     * @param endpointId the id of the endpoint
     */
    public AgentClient(Vertx vertx, HostPort agent, String endpointId) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(REQUEST_TIMEOUT_MILLIS));
        this.agent = agent;
        this.path = "/v1/endpoints/" + endpointId;
    }

    /**
     * Announces the endpoint or repeats its announcement.
     *
     * @param announcement what the endpoint offers
     * @return fails if the agent cannot be reached or refuses
     */
    public Future<Void> announce(Announcement announcement) {
        return send(HttpMethod.PUT, path, JsonHttp.encode(announcement));
    }

    /**
     * Tells the agent that the endpoint leaves.
     *
     * @return fails if the agent cannot be reached or refuses
     */
    public Future<Void> withdraw() {
        return send(HttpMethod.DELETE, path, Buffer.buffer());
    }

    /**
     * Reports what tasks of a kind really take.
     *
     * @param kind the kind
     * @param resources the most that a task took
     * @return fails if the agent cannot be reached or refuses
     */
    public Future<Void> reportUsage(String kind, Resources resources) {
        return send(HttpMethod.PUT, path + "/usage", JsonHttp.encode(new Usage(kind, resources)));
    }

    private Future<Void> send(HttpMethod method, String uri, Buffer body) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(agent.host())
                .setPort(agent.port())
                .setURI(uri)
                .setTimeout(REQUEST_TIMEOUT_MILLIS);
        return client.request(options)
                .compose(request ->
                        request.putHeader("Content-Type", "application/json").send(body))
                .compose(response -> response.statusCode() == NO_CONTENT
                        ? Future.succeededFuture()
                        : Future.failedFuture("status " + response.statusCode()));
    }
}
