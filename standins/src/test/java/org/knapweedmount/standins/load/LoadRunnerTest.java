package org.knapweedmount.standins.load;

import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.standins.support.HostPort;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class LoadRunnerTest {
    private final Vertx vertx = Vertx.vertx();
    private final StringWriter trace = new StringWriter();
    private int idsIssued;

    @AfterEach
    void close() throws Exception {
        vertx.close().await(30, TimeUnit.SECONDS);
    }

    @Test
    void measuresSingleRequestsJobsAndResubmissions() throws Exception {
        List<FlowSummary> summaries = run(
                LoadFlow.parse("one:s:k:t:1:fixed(1)", 1, OptionalDouble.of(1)),
                LoadFlow.parse("job:s:k:t:1:fixed(1)", 3, OptionalDouble.empty()));
        for (FlowSummary summary : summaries) {
            assertThat(summary.sent() > 0, is(true));
            assertThat(summary.complete(), is(summary.sent()));
            assertThat(summary.resubmitted(), is(summary.sent()));
            assertThat(summary.contradictions(), is(0L));
        }
        assertThat(trace.toString(), containsString(",3,1000,"));
    }

    @Test
    void countsRefusals() throws Exception {
        FlowSummary summary = run(LoadFlow.parse("one:none:k:t:1:fixed(1)", 1, OptionalDouble.empty()))
                .get(0);
        assertThat(summary.notRun(), is(summary.sent()));
    }

    @Test
    void requestsToAnUnreachableEntryAreSentToAnother() throws Exception {
        try (Socket boundWithoutListening = new Socket()) {
            boundWithoutListening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            HostPort notListening = new HostPort("127.0.0.1", boundWithoutListening.getLocalPort());
            HostPort entry = entry();
            LoadFlow flow = LoadFlow.parse("one:s:k:t:1:fixed(1)", 1, OptionalDouble.empty());
            FlowSummary one = run(List.of(notListening, entry), flow).get(0);
            FlowSummary none = run(List.of(notListening, notListening), flow).get(0);
            assertThat(one.complete(), is(one.sent()));
            assertThat(none.unreached(), is(none.sent()));
        }
    }

    @Test
    void aRequestIsLostIfItsConnectionFails() throws Exception {
        FlowSummary summary = run(LoadFlow.parse("one:broken:k:t:1:fixed(1)", 1, OptionalDouble.empty()))
                .get(0);
        assertThat(summary.lost(), is(summary.sent()));
    }

    @Test
    void requestsBeyondMaxInFlightAreNotSent() throws Exception {
        int maxInFlight = 3;
        LoadFlow flow = LoadFlow.parse("one:silent:k:t:1:fixed(1)", 1, OptionalDouble.empty());
        // Without resubmissions, which also count as in flight and might start before the last request is admitted.
        LoadSettings settings =
                new LoadSettings(List.of(entry()), List.of(flow), 200, 0.2, 0, 0, 1, 0, 30_000, 100, maxInFlight, 1);
        FlowSummary summary = run(settings).get(0);
        assertThat(summary.sent(), is((long) maxInFlight));
        assertThat(summary.notSent(), is(planned(settings) - maxInFlight));
        assertThat(summary.notRun(), is(0L));
    }

    @Test
    void theLoadEndsAtItsTimeLimitWithoutResponses() throws Exception {
        LoadFlow flow = LoadFlow.parse("one:silent:k:t:1:fixed(1)", 1, OptionalDouble.empty());
        LoadSettings settings = settings(List.of(entry()), 1_000, 1, flow);
        FlowSummary summary = run(settings).get(0);
        assertThat(summary.sent(), is(planned(settings)));
        assertThat(summary.noAnswer(), is(summary.sent()));
        assertThat(
                trace.toString()
                        .lines()
                        .filter(line -> line.contains(",no-answer,"))
                        .count(),
                is(summary.sent()));
    }

    @Test
    void onlyTheTimeAfterTheWarmUpIsRecorded() throws Exception {
        LoadFlow flow = LoadFlow.parse("one:s:k:t:1:fixed(1)", 1, OptionalDouble.empty());
        LoadSettings settings =
                new LoadSettings(List.of(), List.of(flow), 200, 5, 2_000_000, 0, 1, 0, 30_000, 100, 1, 1);
        assertThat(settings.recordedSeconds(flow), is(3.0));
    }

    private static long planned(LoadSettings settings) {
        ArrivalPlan plan = settings.plan();
        return Stream.generate(plan::next).takeWhile(Optional::isPresent).count();
    }

    private List<FlowSummary> run(LoadFlow... flows) throws Exception {
        HostPort entry = entry();
        return run(List.of(entry, entry), flows);
    }

    private HostPort entry() throws Exception {
        int port = vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> respond(request, body)))
                .listen(0, "127.0.0.1")
                .await(30, TimeUnit.SECONDS)
                .actualPort();
        return new HostPort("127.0.0.1", port);
    }

    private List<FlowSummary> run(List<HostPort> entries, LoadFlow... flows) throws Exception {
        return run(settings(entries, 1_000, 30_000, flows));
    }

    private static LoadSettings settings(List<HostPort> entries, int maxInFlight, int awaitMillis, LoadFlow... flows) {
        return new LoadSettings(entries, List.of(flows), 200, 0.2, 0, 1, 1, 0, 30_000, 100, maxInFlight, awaitMillis);
    }

    private List<FlowSummary> run(LoadSettings settings) throws Exception {
        TraceLog log = TraceLog.withWriter(trace);
        CompletableFuture<List<FlowSummary>> result = new CompletableFuture<>();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(ignored -> {
            LoadRunner runner = new LoadRunner(vertx, settings, log);
            new ArrivalThread(
                            settings.plan(),
                            runner,
                            context,
                            sent -> sent.awaitResponses().onSuccess(done -> result.complete(sent.summaries())))
                    .start();
        });
        return result.get(30, TimeUnit.SECONDS);
    }

    private void respond(HttpServerRequest request, Buffer body) {
        if (request.path().startsWith("/v1/services/silent")) {
            return;
        }
        if (request.path().startsWith("/v1/services/none")) {
            request.response()
                    .setStatusCode(503)
                    .putHeader("Knapweedmount-Outcome", "not-run")
                    .end("{}");
        } else if (request.path().startsWith("/v1/services/broken")) {
            request.connection().close();
        } else if (request.path().startsWith("/v1/services/")) {
            request.response().putHeader("Knapweedmount-Outcome", "complete").end(echo(body.toString()));
        } else if (request.path().equals("/v1/submission-ids")) {
            JsonArray ids = new JsonArray();
            for (int i = Integer.parseInt(request.getParam("count")); i > 0; i--) {
                ids.add("id-" + ++idsIssued);
            }
            request.response().end(new JsonObject().put("ids", ids).encode());
        } else {
            JsonArray results = new JsonArray();
            for (Object task : body.toJsonObject().getJsonArray("tasks")) {
                results.add(new JsonObject().put("body", echo(((JsonObject) task).getString("body"))));
            }
            request.response()
                    .end(new JsonObject()
                            .put("outcome", "complete")
                            .put("results", results)
                            .encode());
        }
    }

    private static String echo(String body) {
        return new JsonObject().put("echo", body).encode();
    }
}
