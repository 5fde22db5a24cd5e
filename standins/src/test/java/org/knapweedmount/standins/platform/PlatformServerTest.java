package org.knapweedmount.standins.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PlatformServerTest {
    private static final String CREATE = "{\"conditions\":[{\"table\":\"objects\",\"key\":\"kind/a\",\"version\":0}],"
            + "\"writes\":[{\"table\":\"objects\",\"key\":\"kind/a\",\"value\":{\"n\":1}}]}";
    private static final String ROW = "{\"key\":\"kind/a\",\"version\":1,\"value\":{\"n\":1}}";
    private static final String ROW_PATH = "/tables/objects/rows/kind%2Fa";

    private final Vertx vertx = Vertx.vertx();
    private final PlatformServer server = new PlatformServer("127.0.0.1", 0);
    private final HttpClient client = HttpClient.newHttpClient();

    @BeforeEach
    void deploy() throws Exception {
        vertx.deployVerticle(server).await(30, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().await(30, TimeUnit.SECONDS);
    }

    @Test
    void commitsOnceAndReadsBack() throws Exception {
        assertThat(call("POST", "/transactions", CREATE), is("200 {\"committed\":true}"));
        assertThat(
                call("POST", "/transactions", CREATE),
                is("409 {\"committed\":false,\"failed\":[{\"table\":\"objects\",\"key\":\"kind/a\",\"version\":0}]}"));
        assertThat(call("GET", ROW_PATH, ""), is("200 " + ROW));
        assertThat(call("GET", "/tables/objects/rows?prefix=kind/&limit=5", ""), is("200 {\"rows\":[" + ROW + "]}"));
        assertThat(call("GET", "/control", ""), is("200 {\"mode\":\"up\",\"delayMillis\":0,\"reads\":2,\"writes\":2}"));
    }

    @Test
    void rejectsInvalidInput() throws Exception {
        assertThat(call("POST", "/transactions", "{").substring(0, 3), is("400"));
        assertThat(
                call("POST", "/transactions", "{\"writes\":[{\"table\":\"t\"}]}")
                        .substring(0, 3),
                is("400"));
        assertThat(call("GET", "/tables/t/rows?limit=0", "").substring(0, 3), is("400"));
        assertThat(call("PUT", "/control", "{\"mode\":\"off\"}").substring(0, 3), is("400"));
        assertThat(call("GET", "/tables/t/rows/a", "").substring(0, 3), is("404"));
    }

    @Test
    void storesReadsAndDeletesObjects() throws Exception {
        assertThat(call("PUT", "/objects/a/b", "text"), is("201 {\"name\":\"a/b\"}"));
        assertThat(call("GET", "/objects/a/b", ""), is("200 text"));
        assertThat(call("DELETE", "/objects/a/b", ""), is("200 text"));
        assertThat(call("GET", "/objects/a/b", "").substring(0, 3), is("404"));
    }

    @Test
    void losesTheResponseToACommittedWrite() throws Exception {
        call("PUT", "/control", "{\"mode\":\"lose-answers\"}");
        assertThrows(IOException.class, () -> call("POST", "/transactions", CREATE));
        assertThat(call("GET", ROW_PATH, ""), is("200 " + ROW));
    }

    @Test
    void executesNothingWhileDownOrSilent() throws Exception {
        call("PUT", "/control", "{\"mode\":\"down\"}");
        assertThat(call("POST", "/transactions", CREATE).substring(0, 3), is("503"));
        call("PUT", "/control", "{\"mode\":\"silent\"}");
        assertThrows(HttpTimeoutException.class, () -> call("POST", "/transactions", CREATE, Duration.ofSeconds(1)));
        call("PUT", "/control", "{\"mode\":\"slow\",\"delayMillis\":1}");
        assertThat(call("GET", ROW_PATH, "").substring(0, 3), is("404"));
    }

    private String call(String method, String path, String body) throws Exception {
        return call(method, path, body, Duration.ofSeconds(30));
    }

    private String call(String method, String path, String body, Duration timeout) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .timeout(timeout)
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        return response.statusCode() + " " + response.body();
    }
}
