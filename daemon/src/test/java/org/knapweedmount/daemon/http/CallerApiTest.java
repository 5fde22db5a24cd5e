package org.knapweedmount.daemon.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.core.entry.SubmissionRequest;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.runtime.Decision;
import org.knapweedmount.daemon.runtime.Polling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class CallerApiTest {
    private static final SubmissionId ID = new SubmissionId(new Incarnation("entry-1", 255), 17, 3);
    private static final int MAX_PENDING = 2;
    private static final int EVENT_LOOPS = 2;
    private static final int KEPT_CONNECTIONS = 8;
    private static final int BLOCKED_MILLIS = 200;
    private static final int STATUS_LENGTH = "HTTP/1.1 200".length();
    private static final byte[] HEALTH_REQUEST =
            "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] SUBMIT_REQUEST =
            "POST /v1/services/stock/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private record Submitted(long number, SubmissionRequest request) {}

    private record Response(int status, String outcome, String body) {}

    private final Vertx vertx = Vertx.vertx();
    private final Counters<HttpCounter> counters = new Counters<>(HttpCounter.class);
    private final PendingRequests pending = new PendingRequests(MAX_PENDING, counters);
    private final BlockingQueue<Submitted> submitted = new LinkedBlockingQueue<>();
    private final Set<Thread> threads = ConcurrentHashMap.newKeySet();
    private final List<String> calls = new ArrayList<>();
    private volatile boolean queueFull;
    private volatile Optional<CountDownLatch> blockedUntil = Optional.empty();
    private volatile String notReady = "";
    private CallerApi api;
    private int port;
    private HttpClientAgent client;

    @BeforeEach
    void start() throws Exception {
        HttpLimits limits = new HttpLimits(1_000, 16_384, 10, 10, MAX_PENDING, 2_000, 5, 60_000);
        KeyLookup keys = (team, key) ->
                Future.succeededFuture(key.equals("used") ? KeyLookupResult.found(ID) : KeyLookupResult.UNUSED);
        api = new CallerApi(vertx, limits, this::offer, pending, keys, new FakeHealth(), counters);
        port = await(api.listen("127.0.0.1", 0, EVENT_LOOPS));
        client = vertx.createHttpClient();
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    @ParameterizedTest
    @EnumSource(
            value = HttpVersion.class,
            names = {"HTTP_1_1", "HTTP_2"})
    void answersInReverseOrderReachTheirCallers(HttpVersion version) throws Exception {
        client = vertx.createHttpClient(new HttpClientOptions().setProtocolVersion(version));
        Future<Response> first = request(HttpMethod.POST, "/v1/services/stock/a", "1");
        Submitted one = submitted.take();
        Future<Response> second = request(HttpMethod.POST, "/v1/services/stock/b", "2");
        Submitted two = submitted.take();

        pending.answer(two.number, complete("second"));
        pending.answer(one.number, complete("first"));

        assertThat(await(first), is(new Response(200, "complete", "first")));
        assertThat(await(second), is(new Response(200, "complete", "second")));
        assertThat(one.request.job().tasks().get(0).body(), is(Payload.of("1")));
        assertThat(one.request.job().tasks().get(0).path(), is("/a"));
    }

    @Test
    void connectionsAreSpreadOverTheEventLoops() throws Exception {
        for (int i = 0; i < EVENT_LOOPS; i++) {
            client = vertx.createHttpClient();
            await(request(HttpMethod.GET, "/v1/jobs/" + ID, ""));
        }

        assertThat(threads.size(), is(EVENT_LOOPS));
    }

    /** Connections were closed while their requests waited in the sockets of a blocked event loop. */
    @Test
    void requestsThatArrivedWhileTheEventLoopsWereBlockedAreAnsweredBeforeTheServerIsClosed() throws Exception {
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            connections.add(new Socket(InetAddress.getLoopbackAddress(), port));
            assertThat(exchange(connections.get(i), HEALTH_REQUEST), is("HTTP/1.1 200"));
        }
        CountDownLatch release = new CountDownLatch(1);
        blockedUntil = Optional.of(release);
        for (int i = 0; i < EVENT_LOOPS; i++) {
            connections.get(i).getOutputStream().write(SUBMIT_REQUEST);
        }
        Polling.until(() -> threads.size() == EVENT_LOOPS);
        for (Socket connection : connections.subList(EVENT_LOOPS, KEPT_CONNECTIONS)) {
            connection.getOutputStream().write(HEALTH_REQUEST);
        }
        Future<Void> closed = api.close();
        TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
        release.countDown();

        for (Socket connection : connections.subList(EVENT_LOOPS, KEPT_CONNECTIONS)) {
            assertThat(statusLine(connection), is("HTTP/1.1 200"));
        }
        for (int i = 0; i < EVENT_LOOPS; i++) {
            pending.answer(submitted.take().number, complete("late"));
        }
        await(closed);
    }

    private static String exchange(Socket connection, byte[] request) throws IOException {
        connection.getOutputStream().write(request);
        return statusLine(connection);
    }

    /** Reads one answer; returns the version and the status, or less if the connection is closed before. */
    private static String statusLine(Socket connection) throws IOException {
        byte[] answer = new byte[4_096];
        int length = connection.getInputStream().read(answer);
        return new String(answer, 0, Math.max(0, Math.min(length, STATUS_LENGTH)), StandardCharsets.US_ASCII);
    }

    @Test
    void absoluteUrlInTheRequestLineIsAccepted() throws Exception {
        assertThat(await(request(HttpMethod.GET, "http://127.0.0.1:1/healthz", "")).status, is(200));
    }

    @Test
    void fullQueueRefusesAsNotRun() throws Exception {
        queueFull = true;

        Response response = await(request(HttpMethod.POST, "/v1/services/stock/a", "1"));

        assertThat(response.status, is(503));
        assertThat(response.outcome, is("not-run"));
        assertThat(pending.size(), is(0));
    }

    @Test
    void fullQueueRefusesAPossibleRetryAsUnknown() throws Exception {
        queueFull = true;

        Response response =
                await(request(HttpMethod.PUT, "/v1/jobs/k", "{\"service\":\"s\",\"tasks\":[{\"path\":\"/\"}]}"));

        assertThat(response.status, is(504));
        assertThat(response.outcome, is("unknown"));
    }

    @Test
    void tooManyPendingRequestsAreRefused() throws Exception {
        pending.add(answer -> {});
        pending.add(answer -> {});

        Response response = await(request(HttpMethod.POST, "/v1/services/stock/a", "1"));

        assertThat(response.status, is(503));
        assertThat(submitted.isEmpty(), is(true));
    }

    @Test
    void bodyOverTheLimitIsRefusedWithAndWithoutALength() throws Exception {
        String large = "x".repeat(1_001);

        assertThat(await(request(HttpMethod.POST, "/v1/services/stock/a", large)).status, is(413));
        assertThat(await(chunked(large)).status, is(413));
        assertThat(submitted.isEmpty(), is(true));
    }

    @Test
    void malformedJobIsRefusedWithTheField() throws Exception {
        Response response = await(request(HttpMethod.PUT, "/v1/jobs/k", "{\"service\":\"s\",\"tasks\":[{}]}"));

        assertThat(response.status, is(400));
        assertThat(response.body, containsString("tasks[0].path: missing"));
    }

    @Test
    void disconnectedCallerIsNoLongerPending() throws Exception {
        HttpClientAgent leaving = vertx.createHttpClient();
        client = leaving;
        request(HttpMethod.POST, "/v1/services/stock/a", "1");
        Submitted one = submitted.take();

        await(leaving.close());
        Polling.until(() -> pending.size() == 0);
        pending.answer(one.number, complete("late"));

        assertThat(counters.value(HttpCounter.ABANDONED), is(1L));
    }

    @Test
    void jobIsFoundByCallerKey() throws Exception {
        Response found = await(request(HttpMethod.GET, "/v1/jobs/used?wait=true", ""));
        Response missing = await(request(HttpMethod.DELETE, "/v1/jobs/unused", ""));

        assertThat(found.status, is(202));
        assertThat(calls, is(List.of("status " + ID + " true")));
        assertThat(missing.status, is(404));
    }

    @Test
    void idsAreIssued() throws Exception {
        Response response = await(request(HttpMethod.POST, "/v1/submission-ids?count=2", ""));

        assertThat(response.body, is("{\"ids\":[\"" + ID + "\",\"" + ID + "\"]}"));
    }

    @Test
    void pagesShowTheState() throws Exception {
        assertThat(await(request(HttpMethod.GET, "/healthz", "")).status, is(200));
        assertThat(await(request(HttpMethod.GET, "/readyz", "")).status, is(200));
        assertThat(await(request(HttpMethod.GET, "/metrics", "")).body, is("up 1\n"));
        notReady = "no agent is linked";
        assertThat(await(request(HttpMethod.GET, "/readyz", "")).status, is(503));
    }

    private boolean offer(Decision<CallerRequestHandler> decision) {
        if (queueFull) {
            return false;
        }
        threads.add(Thread.currentThread());
        blockedUntil.ifPresent(CallerApiTest::awaitUninterruptibly);
        decision.decide(new RecordingHandler(), 0);
        return true;
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Future<Response> request(HttpMethod method, String uri, String body) {
        return client.request(options(method, uri))
                .compose(request -> request.send(Buffer.buffer(body)).compose(CallerApiTest::toResponse));
    }

    private Future<Response> chunked(String body) {
        return client.request(options(HttpMethod.POST, "/v1/services/stock/a")).compose(request -> {
            request.setChunked(true);
            request.write(body);
            return request.response().compose(CallerApiTest::toResponse);
        });
    }

    private RequestOptions options(HttpMethod method, String uri) {
        return new RequestOptions()
                .setMethod(method)
                .setHost("127.0.0.1")
                .setPort(port)
                .setURI(uri);
    }

    private static Future<Response> toResponse(HttpClientResponse response) {
        String outcome = response.getHeader("Knapweedmount-Outcome");
        return response.body().map(body -> new Response(response.statusCode(), outcome, body.toString()));
    }

    private static JobAnswer complete(String body) {
        return JobAnswer.complete(ID, List.of(TaskResult.complete(200, "text/plain", Payload.of(body))));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private final class RecordingHandler implements CallerRequestHandler {
        @Override
        public List<SubmissionId> issueIds(int count) {
            return Collections.nCopies(count, ID);
        }

        @Override
        public void submit(long request, SubmissionRequest submission, long nowNanos) {
            submitted.add(new Submitted(request, submission));
        }

        @Override
        public void status(long request, SubmissionId id, boolean awaitEnd, long nowNanos) {
            calls.add("status " + id + " " + awaitEnd);
            pending.answer(request, JobAnswer.pending(id));
        }

        @Override
        public void cancel(long request, SubmissionId id, long nowNanos) {
            calls.add("cancel " + id);
            pending.answer(request, JobAnswer.pending(id));
        }
    }

    private final class FakeHealth implements ProcessHealth {
        @Override
        public String notReadyReason() {
            return notReady;
        }

        @Override
        public boolean draining() {
            return false;
        }

        @Override
        public String metrics() {
            return "up 1\n";
        }
    }
}
