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

/** HTTP client for the requests of an endpoint to its agent. */
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
     * @param vertx the Vert.x instance whose event loops do the I/O
     * @param agent the address on which the agent listens
     * @param endpointId the ID of the endpoint
     */
    public AgentClient(Vertx vertx, HostPort agent, String endpointId) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(REQUEST_TIMEOUT_MILLIS));
        this.agent = agent;
        this.path = "/v1/endpoints/" + endpointId;
    }

    /**
     * Announces the endpoint, or renews its announcement.
     *
     * @param announcement the address and capacity of the endpoint
     * @return a future that fails if the agent cannot be reached or responds with a status other than 204
     */
    public Future<Void> announce(Announcement announcement) {
        return send(HttpMethod.PUT, path, JsonHttp.encode(announcement));
    }

    /**
     * Withdraws the announcement, so that the agent sends no more tasks to the endpoint.
     *
     * @return a future that fails if the agent cannot be reached or responds with a status other than 204
     */
    public Future<Void> withdraw() {
        return send(HttpMethod.DELETE, path, Buffer.buffer());
    }

    /**
     * Reports the measured resource usage of a task kind.
     *
     * @param kind the task kind
     * @param resources the most that one task of this kind used, for each resource
     * @return a future that fails if the agent cannot be reached or responds with a status other than 204
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
                        : Future.failedFuture("the agent responded with status " + response.statusCode()));
    }
}
