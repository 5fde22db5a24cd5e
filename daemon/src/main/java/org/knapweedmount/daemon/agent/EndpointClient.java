package org.knapweedmount.daemon.agent;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.core.agent.EndpointAnnouncement;
import org.knapweedmount.daemon.http.ConnectionFailureLogger;

/**
 * Sends tasks to endpoints, over at most as many connections to each endpoint as it has announced.
 *
 * <p>Runs on one event loop; {@link #start} and {@link #stop} may be called by any thread.
 */
final class EndpointClient {
    private static final int MAX_ENDPOINTS = 256;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int KEEP_ALIVE_SECONDS = 15;
    private static final int STOP_TIMEOUT_MILLIS = 2_000;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2 * TaskRequest.IDLE_TIMEOUT_MILLIS;
    private static final int EXPIRY_TTL_MULTIPLE = 10;

    private final Vertx vertx;
    private final Context context;
    private final int maxResponseBytes;
    private final AtomicInteger runningTasks = new AtomicInteger();
    private final Map<String, Endpoint> endpoints = new HashMap<>();

    private static final class Endpoint {
        private EndpointAnnouncement announcement;
        private final HttpClient client;
        private long expiryNanos;

        private Endpoint(EndpointAnnouncement announcement, HttpClient client) {
            this.announcement = announcement;
            this.client = client;
        }

        private boolean hasSameConnectionSettings(EndpointAnnouncement other) {
            return announcement.host().equals(other.host())
                    && announcement.port() == other.port()
                    && announcement.connections() == other.connections();
        }
    }

    EndpointClient(Context context, int maxResponseBytes) {
        this.vertx = context.owner();
        this.context = context;
        this.maxResponseBytes = maxResponseBytes;
    }

    /** Adds or updates an endpoint, on the event loop; returns false if the maximum number of endpoints is reached. */
    boolean add(EndpointAnnouncement announcement, long nowNanos) {
        expire(nowNanos);
        Endpoint endpoint = endpoints.get(announcement.id());
        if (endpoint == null && endpoints.size() >= MAX_ENDPOINTS) {
            return false;
        }
        if (endpoint == null || !endpoint.hasSameConnectionSettings(announcement)) {
            remove(announcement.id());
            endpoint = new Endpoint(announcement, client(announcement));
            endpoints.put(announcement.id(), endpoint);
        }
        endpoint.announcement = announcement;
        endpoint.expiryNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos((long) EXPIRY_TTL_MULTIPLE * announcement.ttlMillis());
        return true;
    }

    private HttpClient client(EndpointAnnouncement announcement) {
        HttpClientOptions options = new HttpClientOptions()
                .setDefaultHost(announcement.host())
                .setDefaultPort(announcement.port())
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setTcpKeepAlive(true)
                .setTcpNoDelay(true);
        PoolOptions pool =
                new PoolOptions().setHttp1MaxSize(announcement.connections()).setMaxWaitQueueSize(announcement.slots());
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(ConnectionFailureLogger.INSTANCE)
                .build();
    }

    /** Lists the current endpoints, on the event loop. */
    List<EndpointAnnouncement> announcedEndpoints() {
        return endpoints.values().stream()
                .map(endpoint -> endpoint.announcement)
                .toList();
    }

    /** Removes an endpoint, on the event loop; requests in progress continue. */
    void remove(String id) {
        Endpoint endpoint = endpoints.remove(id);
        if (endpoint != null) {
            endpoint.client.shutdown(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void expire(long nowNanos) {
        endpoints.values().removeIf(endpoint -> {
            boolean expired = nowNanos - endpoint.expiryNanos > 0;
            if (expired) {
                endpoint.client.shutdown(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
            return expired;
        });
    }

    /** Sends a task to an endpoint and reports its result exactly once. */
    void start(String endpoint, TaskId task, TaskSpec spec, Consumer<TaskResult> ended) {
        runningTasks.incrementAndGet();
        context.runOnContext(ignored -> send(endpoint, task, spec, result -> {
            runningTasks.decrementAndGet();
            ended.accept(result);
        }));
    }

    private void send(String id, TaskId task, TaskSpec spec, Consumer<TaskResult> ended) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            ended.accept(TaskResult.of(Outcome.NOT_RUN, Reason.ENDPOINT_UNREACHABLE));
            return;
        }
        new TaskRequest(task, spec, maxResponseBytes).run(endpoint.client).onSuccess(ended::accept);
    }

    /** Asks an endpoint to stop a task, best effort; the task still ends with the response to its own request. */
    void stop(String id, TaskId task) {
        context.runOnContext(ignored -> {
            Endpoint endpoint = endpoints.get(id);
            if (endpoint != null) {
                requestStop(endpoint.client, task);
            }
        });
    }

    private static void requestStop(HttpClient client, TaskId task) {
        String path = "/tasks/" + URLEncoder.encode(task.toString(), StandardCharsets.UTF_8);
        client.request(HttpMethod.DELETE, path)
                .map(request -> request.idleTimeout(STOP_TIMEOUT_MILLIS))
                .compose(HttpClientRequest::send);
    }

    /** Returns the number of tasks that were sent and have not ended. */
    int runningTasks() {
        return runningTasks.get();
    }
}
