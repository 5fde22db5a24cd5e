package org.knapweedmount.standins.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.standins.support.HostPort;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class RelayTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final int SHORT_MILLIS = 50;

    private ServerSocket target;
    private Relay relay;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        target.setSoTimeout(TIMEOUT_MILLIS);
        HostPort address = new HostPort("127.0.0.1", target.getLocalPort());
        relay = Relay.start(new RelayRoute(0, address), RelayConditions.passing(0));
    }

    @AfterEach
    void stop() throws IOException {
        relay.close();
        target.close();
    }

    @Test
    void bytesAndEndOfStreamPassInBothDirections() throws IOException {
        try (Socket client = open();
                Socket accepted = accept()) {
            client.getOutputStream().write("ab".getBytes(StandardCharsets.UTF_8));
            client.shutdownOutput();
            assertThat(new String(accepted.getInputStream().readAllBytes(), StandardCharsets.UTF_8), is("ab"));
            accepted.getOutputStream().write('c');
            accepted.shutdownOutput();
            assertThat(client.getInputStream().read(), is((int) 'c'));
            assertThat(client.getInputStream().read(), is(-1));
        }
    }

    @Test
    void theDelayAppliesInEachDirection() throws IOException {
        int delayMicros = 20_000;
        relay.updateConditions(RelayConditions.passing(delayMicros));
        try (Socket client = open();
                Socket accepted = accept()) {
            long startNanos = System.nanoTime();
            client.getOutputStream().write('a');
            accepted.getOutputStream().write(accepted.getInputStream().read());
            client.getInputStream().read();
            long elapsedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
            assertThat(elapsedMicros, greaterThanOrEqualTo(2L * delayMicros));
        }
    }

    @Test
    void aStalledConnectionDeliversLate() throws IOException {
        try (Socket client = open();
                Socket accepted = accept()) {
            relay.updateConditions(new RelayConditions(RelayMode.STALL, 0, false));
            client.getOutputStream().write('a');
            accepted.setSoTimeout(SHORT_MILLIS);
            assertThrows(
                    SocketTimeoutException.class,
                    () -> accepted.getInputStream().read());
            relay.updateConditions(RelayConditions.passing(0));
            accepted.setSoTimeout(TIMEOUT_MILLIS);
            assertThat(accepted.getInputStream().read(), is((int) 'a'));
        }
    }

    @Test
    void cutResetsOpenAndNewConnections() throws IOException {
        try (Socket client = open();
                Socket accepted = accept()) {
            relay.updateConditions(new RelayConditions(RelayMode.CUT, 0, false));
            assertThrows(IOException.class, () -> client.getInputStream().read());
            assertThrows(IOException.class, () -> accepted.getInputStream().read());
        }
        assertThrows(IOException.class, () -> {
            try (Socket client = open()) {
                client.getInputStream().read();
            }
        });
        relay.updateConditions(RelayConditions.passing(0));
        bytesAndEndOfStreamPassInBothDirections();
    }

    @Test
    void cuttingOneClientDoesNotAffectOthers() throws Exception {
        try (Socket client = openAndSend("\u00a7agent-1\u00cf");
                Socket accepted = accept();
                Socket other = openAndSend("\u00a8agent-11\u00cf");
                Socket otherAccepted = accept()) {
            accepted.getInputStream().read();
            otherAccepted.getInputStream().read();
            relay.updateConditions(
                    relay.conditions().withChange(new ObjectMapper().readTree("{\"cutOpeners\":[\"agent-1\"]}")));
            assertThrows(IOException.class, () -> client.getInputStream().read());
            otherAccepted.getOutputStream().write('b');
            assertThat(other.getInputStream().read(), is((int) 'b'));
        }
        assertThrows(IOException.class, () -> {
            try (Socket client = openAndSend("\u00a7agent-1\u00cf")) {
                client.getInputStream().read();
            }
        });
        accept().close();
        relay.updateConditions(RelayConditions.passing(0));
        try (Socket client = openAndSend("agent-1");
                Socket accepted = accept()) {
            accepted.getOutputStream().write('c');
            assertThat(client.getInputStream().read(), is((int) 'c'));
        }
    }

    private Socket openAndSend(String bytes) throws IOException {
        Socket client = open();
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return client;
    }

    @Test
    void duplicateConnectionGetsTheSameBytesAndItsResponsesAreDiscarded() throws IOException {
        relay.updateConditions(new RelayConditions(RelayMode.PASS, 0, true));
        try (Socket client = open();
                Socket first = accept();
                Socket second = accept()) {
            client.getOutputStream().write('a');
            assertThat(first.getInputStream().read(), is((int) 'a'));
            assertThat(second.getInputStream().read(), is((int) 'a'));
            second.getOutputStream().write('x');
            second.shutdownOutput();
            first.getOutputStream().write('b');
            assertThat(client.getInputStream().read(), is((int) 'b'));
        }
    }

    @Test
    void controlRequestsChangeOneRelay() throws Exception {
        Vertx vertx = Vertx.vertx();
        RelayControl control = new RelayControl("127.0.0.1", 0, List.of(relay));
        vertx.deployVerticle(control).await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        String port = "\"port\":" + relay.port();
        assertThat(
                put(control, "{" + port + ",\"mode\":\"stall\",\"delayMicros\":500}"),
                is(
                        "200 [{" + port
                                + ",\"conditions\":{\"mode\":\"STALL\",\"delayMicros\":500,\"duplicate\":false,\"cutOpeners\":[]}}]"));
        assertThat(put(control, "{\"port\":1,\"mode\":\"cut\"}").substring(0, 3), is("400"));
        assertThat(put(control, "{\"mode\":\"off\"}").substring(0, 3), is("400"));
        assertThat(relay.conditions(), is(new RelayConditions(RelayMode.STALL, 500, false)));
        vertx.close().await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static String put(RelayControl control, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + control.port() + "/control"))
                .PUT(BodyPublishers.ofString(body))
                .build();
        var response = HttpClient.newHttpClient().send(request, BodyHandlers.ofString());
        return response.statusCode() + " " + response.body();
    }

    private Socket open() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private Socket accept() throws IOException {
        Socket socket = target.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }
}
