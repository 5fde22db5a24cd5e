package org.knapweedmount.daemon.entry;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.core.entry.EntryLimits;
import org.knapweedmount.daemon.runtime.Polling;
import org.knapweedmount.daemon.settings.EntrySettings;
import org.knapweedmount.daemon.settings.HostPort;
import org.knapweedmount.daemon.settings.HttpSettings;
import org.knapweedmount.daemon.settings.LinkSettings;
import org.knapweedmount.daemon.settings.LogLevel;
import org.knapweedmount.daemon.settings.OperatorSettings;
import org.knapweedmount.daemon.settings.ProcessSettings;
import org.knapweedmount.daemon.store.EntryRow;
import org.knapweedmount.daemon.store.FakeTableServer;
import org.knapweedmount.daemon.store.InMemoryTableService;
import org.knapweedmount.daemon.store.InMemoryTableService.Mode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class EntryProcessTest {
    private static final String TOKEN = "0123456789abcdef";
    private static final String HOST = "127.0.0.1";

    private record Response(int status, String body) {
        JsonNode json() throws Exception {
            return new ObjectMapper().readTree(body);
        }
    }

    @TempDir
    private Path directory;

    private final Vertx vertx = Vertx.vertx();
    private final InMemoryTableService tables = new InMemoryTableService();
    private final List<EntryProcess> startedEntries = new ArrayList<>();
    private final HttpClientAgent client = vertx.createHttpClient();
    private final CountDownLatch exits = new CountDownLatch(1);
    private int platformPort;

    @BeforeEach
    void startPlatform() throws Exception {
        platformPort = new FakeTableServer(vertx, tables).port();
        Files.writeString(directory.resolve("token"), TOKEN);
    }

    @AfterEach
    void stop() throws Exception {
        for (EntryProcess entry : startedEntries) {
            entry.stop();
        }
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @Test
    void ticketAcceptedAtOneEntryIsAppliedAtAnother() throws Exception {
        EntryProcess first = start("entry-1", List.of());
        EntryProcess second = start("entry-2", List.of());

        assertThat(putTicket(first, 7).status, is(200));

        Polling.until(() -> status(second).path("configNumber").asLong() >= 7);
        assertThat(putTicket(second, 6).status, is(409));
        JsonNode kind = status(second).path("shares").get(0);
        assertThat(kind.path("kind").asText() + " " + kind.path("share").asText(), is("check 1.0"));
        assertThat(status(second).path("teams").get(0).path("quotaShare").asText(), is("1.0"));
        assertThat(status(second).path("state").asText(), is("serving"));
    }

    @Test
    void entryStartedDuringTableServiceOutageGetsConfigurationFromPeer() throws Exception {
        EntryProcess first = start("entry-1", List.of());
        putTicket(first, 7);
        tables.mode(Mode.DOWN, Mode.DOWN);

        EntryProcess second = start("entry-2", List.of(new HostPort(HOST, first.linkPort())));

        Polling.until(() -> status(second).path("configNumber").asLong() >= 7);
        assertThat(status(second).path("entries").size(), is(1));
        assertThat(putTicket(second, 8).status, is(503));
    }

    @Test
    void requestIsRefusedAsNotRunWhileNoAgentIsLinked() throws Exception {
        EntryProcess entry = start("entry-1", List.of());
        putTicket(entry, 1);
        Polling.until(() -> status(entry).path("configNumber").asLong() >= 1);

        Response response = send(entry.callerPort(), HttpMethod.POST, "/v1/services/dues/check", "");

        assertThat(response.body, containsString("\"outcome\":\"not-run\",\"reason\":\"no-endpoint\""));
        assertThat(send(entry.callerPort(), HttpMethod.GET, "/readyz", "").status, is(503));
        assertThat(send(entry.callerPort(), HttpMethod.GET, "/v1/jobs/unused", "").status, is(404));
        assertThat(
                send(entry.callerPort(), HttpMethod.GET, "/metrics", "").body,
                containsString("knapweedmount_entry_refused_total 1.0"));
    }

    @Test
    void requestsWithTheSameKeyRunOnce() throws Exception {
        EntryProcess first = start("entry-1", List.of());
        EntryProcess second = start("entry-2", List.of(new HostPort(HOST, first.linkPort())));
        EchoAgent agent = startServingAgent(first, second);

        Response once = call(first, "payment-1");
        Response again = call(first, "payment-1");
        Response elsewhere = call(second, "payment-1");

        assertThat(once, is(new Response(200, "7 euro")));
        assertThat(again, is(once));
        assertThat(elsewhere, is(once));
        assertThat(agent.starts(), is(1));
        assertThat(status(first).path("agents").get(0).path("configNumber").asLong(), is(1L));
        agent.close();
    }

    @Test
    void statusAndCancelReachASubmissionThroughAnotherEntry() throws Exception {
        EntryProcess first = start("entry-1", List.of());
        EntryProcess second = start("entry-2", List.of(new HostPort(HOST, first.linkPort())));
        EchoAgent agent = startServingAgent(first, second);
        String id = issuedId(first);

        for (String key : List.of(id, "order-1")) {
            Response response = job(first, HttpMethod.PUT, key);
            assertThat(response.status, is(200));
            assertThat(job(second, HttpMethod.PUT, key), is(response));
            assertThat(job(second, HttpMethod.GET, key), is(response));
            assertThat(job(second, HttpMethod.DELETE, key), is(response));
        }
        assertThat(agent.starts(), is(2));
        agent.close();
    }

    @Test
    void submissionCancelledThroughAnotherEntryIsNeverStarted() throws Exception {
        EntryProcess first = start("entry-1", List.of());
        EntryProcess second = start("entry-2", List.of(new HostPort(HOST, first.linkPort())));
        EchoAgent agent = startServingAgent(first, second);
        String id = issuedId(first);

        Response cancelled = job(second, HttpMethod.DELETE, id);
        Response submitted = job(first, HttpMethod.PUT, id);

        assertThat(cancelled.status, is(409));
        assertThat(cancelled.json().path("outcome").asText(), is("not-run"));
        assertThat(submitted, is(cancelled));
        assertThat(agent.starts(), is(0));
        assertThat(job(second, HttpMethod.GET, "unused").status, is(404));
        agent.close();
    }

    private Response job(EntryProcess entry, HttpMethod method, String key) throws Exception {
        String job = method.equals(HttpMethod.PUT) ? "{\"service\": \"dues\", \"tasks\": [{\"path\": \"/pay\"}]}" : "";
        return send(entry.callerPort(), method, "/v1/jobs/" + key, job);
    }

    private EchoAgent startServingAgent(EntryProcess first, EntryProcess second) throws Exception {
        putTicket(first, 1);
        EchoAgent agent = agent(first, second);
        Polling.until(() -> status(second).path("entries").size() >= 1);
        Polling.until(() -> status(second).path("configNumber").asLong() >= 1);
        return agent;
    }

    @Test
    void regionsShareTicketsAndResultsWithoutPermanentLinks() throws Exception {
        EntryProcess first = start("entry-1", "north", List.of());
        EntryProcess second = start("entry-2", "south", List.of());
        putTicket(first, 1);
        EchoAgent agent = EchoAgent.inRegion(vertx, "north", "dues", new HostPort(HOST, first.linkPort()));
        awaitReady(first);
        Polling.until(() -> status(second).path("configNumber").asLong() >= 1);
        assertThat(linkedTotal(second), is("0.0"));
        String id = issuedId(first);

        Response once = call(first, id);
        Response elsewhere = call(second, id);

        assertThat(once, is(new Response(200, "7 euro")));
        assertThat(elsewhere, is(once));
        assertThat(agent.starts(), is(1));
        assertThat(linkedTotal(second), is("1.0"));
        agent.close();
    }

    private String linkedTotal(EntryProcess entry) throws Exception {
        String name = "knapweedmount_links_linked_total ";
        return send(entry.callerPort(), HttpMethod.GET, "/metrics", "")
                .body
                .lines()
                .filter(line -> line.startsWith(name))
                .map(line -> line.substring(name.length()))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void failedRequestGetsTheSameResponseFromEveryEntry() throws Exception {
        EntryProcess first = start("entry-1", List.of());
        EntryProcess second = start("entry-2", List.of(new HostPort(HOST, first.linkPort())));
        EchoAgent agent = startServingAgent(first, second);

        Response once = call(first, "refund-1", EchoAgent.FAILING_PATH);
        Response elsewhere = call(second, "refund-1", EchoAgent.FAILING_PATH);

        assertThat(once, is(new Response(422, "7 euro")));
        assertThat(elsewhere, is(once));
        assertThat(agent.starts(), is(1));
        agent.close();
    }

    @Test
    void requestIsNotRunWhileItsKeyCannotBeClaimed() throws Exception {
        EntryProcess entry = start("entry-1", List.of());
        putTicket(entry, 1);
        EchoAgent agent = agent(entry);
        tables.mode(Mode.DOWN, Mode.DOWN);

        Response withKey = call(entry, "payment-1");
        Response withIssuedId = call(entry, issuedId(entry));

        assertThat(withKey.json().path("outcome").asText(), is("unknown"));
        assertThat(withKey.json().path("reason").asText(), is("store-unavailable"));
        assertThat(withIssuedId, is(new Response(200, "7 euro")));
        assertThat(agent.starts(), is(1));
        agent.close();
    }

    private EchoAgent agent(EntryProcess... entries) throws Exception {
        List<HostPort> addresses = Arrays.stream(entries)
                .map(entry -> new HostPort(HOST, entry.linkPort()))
                .toList();
        EchoAgent agent = new EchoAgent(vertx, "dues", addresses);
        for (EntryProcess entry : entries) {
            awaitReady(entry);
        }
        return agent;
    }

    private void awaitReady(EntryProcess entry) throws Exception {
        Polling.until(() -> send(entry.callerPort(), HttpMethod.GET, "/readyz", "").status == 200);
    }

    private String issuedId(EntryProcess entry) throws Exception {
        Response ids = send(entry.callerPort(), HttpMethod.POST, "/v1/submission-ids", "");
        return ids.json().path("ids").get(0).asText();
    }

    private Response call(EntryProcess entry, String key) throws Exception {
        return call(entry, key, "/pay");
    }

    private Response call(EntryProcess entry, String key, String path) throws Exception {
        RequestOptions options = options(entry.callerPort(), HttpMethod.POST, "/v1/services/dues" + path)
                .putHeader("Idempotency-Key", key);
        return send(options, "7 euro");
    }

    @Test
    void plannedStopDeletesTheEntryRow() throws Exception {
        EntryProcess entry = start("entry-1", List.of());
        Polling.until(() -> entryRows() > 0);
        Response drained = send(entry.operatorPort(), HttpMethod.POST, "/v1/drain", "");

        assertThat(drained.status, is(202));
        exits.await();
        assertThat(send(entry.callerPort(), HttpMethod.GET, "/readyz", "").body, containsString("draining"));
        startedEntries.remove(entry);
        entry.stop();
        assertThat(entryRows(), is(0));
    }

    private int entryRows() {
        return tables.list(EntryRow.TABLE, "").result().rows().size();
    }

    private EntryProcess start(String name, List<HostPort> peers) throws Exception {
        return start(name, PeerAddress.DEFAULT_REGION, peers);
    }

    private EntryProcess start(String name, String region, List<HostPort> peers) throws Exception {
        ProcessSettings process = new ProcessSettings(
                name,
                region,
                "bilbao",
                LogLevel.WARN,
                new HttpSettings(HOST, 0, 1_000_000, 100),
                new HostPort(HOST, platformPort),
                peers,
                1_000,
                EchoAgent.HEARTBEAT_MILLIS);
        EntrySettings settings = new EntrySettings(
                process,
                new LinkSettings(HOST, 0, OptionalInt.empty()),
                new OperatorSettings(HOST, 0, directory.resolve("token")),
                EntryLimits.DEFAULT);
        EntryProcess entry = new EntryStarter(exits::countDown).start(settings);
        startedEntries.add(entry);
        return entry;
    }

    private Response putTicket(EntryProcess entry, long number) throws Exception {
        String ticket = """
                {"author": "ana", "objects": [
                  {"type": "service", "name": "dues", "defaultKind": "check", "maxBodyBytes": 1000, "shortOnlyShare": 0},
                  {"type": "kind", "name": "check", "service": "dues", "repeatable": true, "shortTask": true,
                   "weight": 1, "expectedMillis": 80, "maxWaitMillis": 500},
                  {"type": "team", "name": "default", "weight": 1, "quotaShare": 1}]}
                """;
        return send(entry.operatorPort(), HttpMethod.PUT, "/v1/tickets/" + number, ticket);
    }

    private JsonNode status(EntryProcess entry) throws Exception {
        return send(entry.operatorPort(), HttpMethod.GET, "/v1/status", "").json();
    }

    private Response send(int port, HttpMethod method, String uri, String body) throws Exception {
        return send(options(port, method, uri), body);
    }

    private static RequestOptions options(int port, HttpMethod method, String uri) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(HOST)
                .setPort(port)
                .setURI(uri)
                .putHeader("Authorization", "Bearer " + TOKEN);
    }

    private Response send(RequestOptions options, String body) throws Exception {
        return client.request(options)
                .compose(request -> request.send(Buffer.buffer(body)).compose(EntryProcessTest::toResponse))
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS);
    }

    private static Future<Response> toResponse(HttpClientResponse response) {
        return response.body().map(text -> new Response(response.statusCode(), text.toString()));
    }
}
