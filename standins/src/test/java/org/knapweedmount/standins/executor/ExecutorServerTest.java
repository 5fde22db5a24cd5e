package org.knapweedmount.standins.executor;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.knapweedmount.api.Resources;
import org.knapweedmount.standins.support.HostPort;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class ExecutorServerTest {
    private static final String TASK = "entry-1~00000000000000ff.17.3#0";

    private final Vertx vertx = Vertx.vertx();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final BlockingQueue<String> agentRequests = new LinkedBlockingQueue<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private ExecutorServer executor;

    @BeforeEach
    void deploy() throws Exception {
        HttpServer agent = vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> {
                    agentRequests.add(request.method() + " " + request.path() + " " + body);
                    request.response().setStatusCode(204).end();
                }));
        int agentPort = agent.listen(0, "127.0.0.1").await(30, TimeUnit.SECONDS).actualPort();
        EndpointSpec spec = new EndpointSpec(
                "w-1",
                0,
                new Announcement("s", "127.0.0.1", 0, 1, 64, 600_000, new Resources(1000, 100, 0)),
                new HostPort("127.0.0.1", agentPort),
                0,
                1,
                ExecutorControl.of(FaultMode.NORMAL));
        executor = new ExecutorServer(spec, new ProcessContext(new StartedTasks(), StartLog.none(), timer));
        vertx.deployVerticle(executor).await(30, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        timer.shutdownNow();
        vertx.close().await(30, TimeUnit.SECONDS);
    }

    @Test
    void announcesItselfAndWithdraws() throws Exception {
        String announcement = "{\"service\":\"s\",\"host\":\"127.0.0.1\",\"port\":" + executor.port()
                + ",\"slots\":1,\"connections\":64,\"ttlMillis\":600000,"
                + "\"resources\":{\"milliCores\":1000,\"memoryMegabytes\":100,\"accelerators\":0}}";
        assertThat(nextAgentRequest(), is("PUT /v1/endpoints/w-1 " + announcement));
        executor.drain().await(30, TimeUnit.SECONDS);
        assertThat(nextAgentRequest(), is("DELETE /v1/endpoints/w-1 "));
    }

    @Test
    void respondsToATaskAndCountsItsDuplicate() throws Exception {
        assertThat(task("/a?run=0.1", "x").get(), is("200 {\"task\":\"" + TASK + "\",\"echo\":\"x\"}"));
        assertThat(task("/a?run=0.1", "x").get().substring(0, 3), is("200"));
        assertThat(stats(), allOf(containsString("\"started\":2"), containsString("\"duplicates\":1")));
    }

    @Test
    void reportsTheUsageOfAKind() throws Exception {
        nextAgentRequest();
        task("/a?kind=render&use=500,64,0", "").get();
        assertThat(
                nextAgentRequest(),
                is("PUT /v1/endpoints/w-1/usage {\"kind\":\"render\",\"resources\":"
                        + "{\"milliCores\":500,\"memoryMegabytes\":64,\"accelerators\":0}}"));
    }

    @Test
    void startsMoreTasksThanItHasSlotsAndStopsThem() throws Exception {
        call("PUT", "/control", "{\"mode\":\"hang\"}").get();
        CompletableFuture<String> first = task("/a?run=1", "x");
        CompletableFuture<String> second = task("/a?run=1", "x");
        while (!stats().contains("\"running\":2")) {
            Thread.onSpinWait();
        }
        assertThat(call("DELETE", "/tasks/" + TASK.replace("#", "%23"), "").get(), is("204 "));
        assertThat(first.get().substring(0, 3), is("409"));
        assertThat(second.get().substring(0, 3), is("409"));
        assertThat(stats(), allOf(containsString("\"stopped\":2"), containsString("\"peakRunning\":2")));
    }

    @Test
    void failsAllTasksInModeFailAll() throws Exception {
        call("PUT", "/control", "{\"mode\":\"fail-all\"}").get();
        assertThat(task("/a?run=60000", "").get().substring(0, 3), is("500"));
        assertThat(stats(), containsString("\"failed\":1"));
    }

    private String nextAgentRequest() throws InterruptedException {
        return agentRequests.poll(30, TimeUnit.SECONDS);
    }

    private String stats() throws Exception {
        return call("GET", "/stats", "").get();
    }

    private CompletableFuture<String> task(String path, String body) {
        return send(request(path).header(ExecutorServer.TASK_HEADER, TASK).POST(BodyPublishers.ofString(body)));
    }

    private CompletableFuture<String> call(String method, String path, String body) {
        return send(request(path).method(method, BodyPublishers.ofString(body)));
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + executor.port() + path));
    }

    private CompletableFuture<String> send(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), BodyHandlers.ofString()).thenApply(ExecutorServerTest::text);
    }

    private static String text(HttpResponse<String> response) {
        return response.statusCode() + " " + response.body();
    }
}
