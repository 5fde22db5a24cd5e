package org.knapweedmount.daemon.agent;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.daemon.runtime.RefusingPort;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class TaskRequestTest {
    private static final TaskId TASK = new SubmissionId(new Incarnation("entry-1", 255), 17, 3).task(2);
    private static final int MAX_RESPONSE_BYTES = 1_000;

    private final Vertx vertx = Vertx.vertx();
    private HttpClient client;

    @AfterEach
    void close() {
        vertx.close().await();
    }

    @Test
    void taskIsSentWithItsIdAndTheResultIsComplete() {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> request.body()
                        .onSuccess(body -> request.response()
                                .setStatusCode(201)
                                .putHeader("Content-Type", "text/plain")
                                .end(String.join(
                                        " ",
                                        request.method().name(),
                                        request.uri(),
                                        request.getHeader("Knapweedmount-Task"),
                                        request.getHeader("Content-Type"),
                                        body.toString()))))
                .listen(0, "127.0.0.1")
                .await();

        TaskResult result = run(server.actualPort(), spec("POST", "/stock?part=7", "red lens"));

        String echoed = "POST /stock?part=7 entry-1~00000000000000ff.17.3#2 text/x-part red lens";
        assertThat(result, is(TaskResult.complete(201, "text/plain", Payload.of(echoed))));
    }

    @ParameterizedTest
    @CsvSource({"200, COMPLETE, NONE", "399, COMPLETE, NONE", "400, FAILED, TASK_FAILED", "503, FAILED, TASK_FAILED"})
    void statusDecidesBetweenCompleteAndFailed(int status, Outcome outcome, Reason reason) {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(
                        request -> request.response().setStatusCode(status).end("lens"))
                .listen(0, "127.0.0.1")
                .await();

        TaskResult result = run(server.actualPort(), spec("GET", "/stock", ""));

        assertThat(result, is(new TaskResult(outcome, reason, status, "", Payload.of("lens"))));
    }

    @Test
    void refusedConnectionIsNotRun() throws IOException {
        try (RefusingPort refusing = new RefusingPort()) {
            TaskResult result = run(refusing.port(), spec("GET", "/stock", ""));

            assertThat(result, is(TaskResult.of(Outcome.NOT_RUN, Reason.ENDPOINT_UNREACHABLE)));
        }
    }

    @ParameterizedTest
    @CsvSource({"''", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK|Content-Length: 10||half"})
    void connectionLostAfterTheRequestWasSentIsUnknown(String response) throws IOException {
        try (ServerSocket server = listen()) {
            CompletableFuture<Void> broken = CompletableFuture.runAsync(() -> respondAndClose(server, response));

            TaskResult result = run(server.getLocalPort(), spec("GET", "/stock", ""));

            broken.join();
            assertThat(result, is(TaskResult.of(Outcome.UNKNOWN, Reason.CONNECTION_LOST)));
        }
    }

    private static void respondAndClose(ServerSocket server, String response) {
        try (Socket socket = server.accept()) {
            InputStream in = socket.getInputStream();
            assertThat(in.read() >= 0, is(true));
            socket.getOutputStream().write(response.replace("|", "\r\n").getBytes(US_ASCII));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void responseOverTheLimitIsFailed() {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> request.response().end("x".repeat(MAX_RESPONSE_BYTES + 1)))
                .listen(0, "127.0.0.1")
                .await();

        TaskResult result = run(server.actualPort(), spec("GET", "/stock", ""));

        assertThat(result, is(new TaskResult(Outcome.FAILED, Reason.TOO_LARGE, 200, "", Payload.EMPTY)));
    }

    @ParameterizedTest
    @CsvSource({"GE T, /stock", "GET, stock", "GET, /stock lens", "GET, '/stock\r\nHost: x'", "'', /stock"})
    void taskThatIsNotAValidHttpRequestIsNotRun(String method, String path) {
        TaskResult result = run(1, spec(method, path, ""));

        assertThat(result, is(TaskResult.of(Outcome.NOT_RUN, Reason.MALFORMED)));
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    private TaskResult run(int port, TaskSpec spec) {
        client = vertx.createHttpClient(
                new HttpClientOptions().setDefaultHost("127.0.0.1").setDefaultPort(port));
        return new TaskRequest(TASK, spec, MAX_RESPONSE_BYTES).run(client).await();
    }

    private static TaskSpec spec(String method, String path, String body) {
        return new TaskSpec("lookup", method, path, "text/x-part", Payload.of(body), 0, Resources.NONE);
    }
}
