package org.knapweedmount.daemon.agent;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.core.agent.AgentLimits;
import org.knapweedmount.daemon.runtime.Polling;
import org.knapweedmount.daemon.runtime.RefusingPort;
import org.knapweedmount.daemon.runtime.StartException;
import org.knapweedmount.daemon.settings.AgentSettings;
import org.knapweedmount.daemon.settings.HostPort;
import org.knapweedmount.daemon.settings.HttpSettings;
import org.knapweedmount.daemon.settings.LogLevel;
import org.knapweedmount.daemon.settings.ProcessSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class AgentProcessTest {
    private static final String HOST = "127.0.0.1";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClientAgent client = vertx.createHttpClient();
    private final BlockingQueue<HttpServerRequest> tasks = new LinkedBlockingQueue<>();
    private FakeEntry entry;
    private AgentProcess agent;
    private HttpServer endpoint;

    @BeforeEach
    void start() throws StartException {
        entry = new FakeEntry(vertx, "entry-1");
        endpoint = vertx.createHttpServer()
                .requestHandler(tasks::add)
                .listen(0, HOST)
                .await();
        agent = new AgentStarter().start(settings(platform().actualPort()));
    }

    private HttpServer platform() {
        String row = "{\"rows\": [{\"key\": \"entry-1\", \"version\": 1, \"value\": {\"incarnation\": \""
                + entry.self.incarnation() + "\", \"dataCentre\": \"rennes\", \"host\": \"127.0.0.1\", \"port\": "
                + entry.self.port() + ", \"beat\": 1}}]}";
        return vertx.createHttpServer()
                .requestHandler(request -> request.response().end(row))
                .listen(0, HOST)
                .await();
    }

    private static AgentSettings settings(int platformPort) {
        ProcessSettings process = new ProcessSettings(
                "agent-1",
                PeerAddress.DEFAULT_REGION,
                "rennes",
                LogLevel.INFO,
                new HttpSettings(HOST, 0, 10_000, 10),
                new HostPort(HOST, platformPort),
                List.of(),
                30_000,
                FakeEntry.HEARTBEAT_MILLIS);
        return new AgentSettings(process, AgentLimits.DEFAULT);
    }

    @AfterEach
    void stop() throws InterruptedException {
        agent.stop();
        entry.close();
        vertx.close().await();
    }

    @Test
    void agentFindsTheEntryByItsRowAndRunsATaskOnTheEndpoint() throws InterruptedException {
        PeerAddress linked = entry.awaitLink();
        assertThat(linked.incarnation().process(), is("agent-1"));
        configure(linked);

        announce();
        assertThat(entry.await(Capacity.class), is(new Capacity("stock-desk", 1, Resources.NONE)));
        Start start = start(entry.await(Grant.class), 1);
        entry.send(linked, start);
        HttpServerRequest request = tasks.take();
        assertThat(request.getHeader("Knapweedmount-Task"), is(start.task().toString()));
        request.response().end("3 lenses in Brest");

        Finished finished = entry.await(Finished.class);
        assertThat(finished.task(), is(start.task()));
        assertThat(finished.result(), is(TaskResult.complete(200, "", Payload.of("3 lenses in Brest"))));
        assertThat(get("/readyz"), is("ready\n"));
        assertThat(get("/metrics"), containsString("\nknapweedmount_agent_completed_total 1.0\n"));
    }

    @Test
    void plannedStopAnnouncesLeavingAndWaitsForTheRunningTask() throws Exception {
        PeerAddress linked = entry.awaitLink();
        configure(linked);
        announce();
        Start start = start(entry.await(Grant.class), 1);
        entry.send(linked, start);
        HttpServerRequest request = tasks.take();

        CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stopAgent);
        entry.await(Leaving.class);
        assertThat(stopped.isDone(), is(false));
        request.response().end("3 lenses in Brest");

        assertThat(entry.await(Finished.class).task(), is(start.task()));
        assertThat(entry.awaitUnlinked(), is(linked.incarnation()));
        stopped.join();
    }

    @Test
    void taskOfUnreachableEndpointIsReportedNotStarted() throws Exception {
        PeerAddress linked = entry.awaitLink();
        configure(linked);
        try (RefusingPort refusing = new RefusingPort()) {
            announce(refusing.port());

            Start start = start(entry.await(Grant.class), 1);
            entry.send(linked, start);

            assertThat(entry.await(NotStarted.class).task(), is(start.task()));
        }
    }

    @Test
    void agentLinksToEntriesListedInPeersMessage() throws InterruptedException {
        PeerAddress linked = entry.awaitLink();
        try (FakeEntry other = new FakeEntry(vertx, "entry-2")) {
            entry.send(linked, new Peers(List.of(entry.self, other.self)));

            assertThat(other.awaitLink(), is(linked));
        }
    }

    @Test
    void endpointsAreListedUntilTheyLeave() {
        announce();
        assertThat(
                get("/v1/endpoints"),
                is("{\"running\":0,\"endpoints\":[{\"id\":\"desk-1\",\"service\":\"stock-desk\",\"host\":\"127.0.0.1\","
                        + "\"port\":" + endpoint.actualPort()
                        + ",\"slots\":1,\"connections\":2,\"ttlMillis\":60000}]}"));

        status(HttpMethod.DELETE, "/v1/endpoints/desk-1", "");

        Polling.until(() -> get("/v1/endpoints").equals("{\"running\":0,\"endpoints\":[]}"));
    }

    @Test
    void invalidRequestsAreRefused() {
        assertThat(status(HttpMethod.PUT, "/v1/endpoints/desk-1", "{\"slots\": 0}"), is(400));
        assertThat(status(HttpMethod.PUT, "/v1/endpoints/desk-1", "x".repeat(10_001)), is(413));
        assertThat(status(HttpMethod.GET, "/v1/endpoints/desk-1", ""), is(405));
        assertThat(status(HttpMethod.PUT, "/v1/endpoints/desk%201", ""), is(404));
        assertThat(status(HttpMethod.DELETE, "/v1/endpoints/desk-1", ""), is(204));
    }

    private void stopAgent() {
        try {
            agent.stop();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void configure(PeerAddress linked) throws InterruptedException {
        ServiceConfig service = new ServiceConfig("stock-desk", "lookup", 1_000, 0);
        KindConfig kind = new KindConfig("lookup", "stock-desk", true, true, 1, 50, 500, Resources.NONE);
        TeamConfig team = new TeamConfig("lamps", 1, 1);
        entry.send(linked, new ConfigUpdate(List.of(new Ticket(1, "ana", List.of(service, kind, team)))));
        assertThat(entry.await(ConfigApplied.class), is(new ConfigApplied(1)));
    }

    private void announce() {
        announce(endpoint.actualPort());
    }

    private void announce(int port) {
        String body = "{\"service\": \"stock-desk\", \"host\": \"127.0.0.1\", \"port\": " + port
                + ", \"slots\": 1, \"connections\": 2, \"ttlMillis\": 60000}";
        assertThat(status(HttpMethod.PUT, "/v1/endpoints/desk-1", body), is(204));
    }

    private Start start(Grant grant, long sequence) {
        TaskId task = new SubmissionId(entry.self.incarnation(), sequence, 1).task(0);
        TaskSpec spec = new TaskSpec("lookup", "GET", "/stock?part=7", "", Payload.EMPTY, 0, Resources.NONE);
        return new Start(sequence, grant.firstLease(), task, "stock-desk", "lamps", spec, 0, 0);
    }

    private int status(HttpMethod method, String path, String body) {
        return client.request(method, agent.httpPort(), HOST, path)
                .compose(request -> request.send(Buffer.buffer(body)))
                .map(HttpClientResponse::statusCode)
                .await();
    }

    private String get(String path) {
        return client.request(HttpMethod.GET, agent.httpPort(), HOST, path)
                .compose(request -> request.send().compose(HttpClientResponse::body))
                .map(Buffer::toString)
                .await();
    }
}
