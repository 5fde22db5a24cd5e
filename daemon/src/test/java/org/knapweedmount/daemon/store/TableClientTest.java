package org.knapweedmount.daemon.store;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Collections;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.core.metric.Counters;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class TableClientTest {
    private static final RowId ROW = new RowId("claims", "team/a b?");
    private static final Transaction TRANSACTION = Transaction.EMPTY
            .require(ROW, 0)
            .put(ROW, JsonNodeFactory.instance.objectNode().put("x", 1))
            .delete(new RowId("head", "ticket"));
    private static final TableLimits LIMITS = new TableLimits(20_000, 20_000, 1, 1, 100, 60_000);
    private static final TableLimits SHORT_TRANSACTIONS = new TableLimits(20_000, 500, 1, 1, 100, 60_000);

    private final Vertx vertx = Vertx.vertx();
    private final Counters<TableCounter> counters = new Counters<>(TableCounter.class);
    private volatile Handler<HttpServerRequest> handler = request -> {};
    private volatile long nowNanos;
    private HttpServer server;
    private TableClient client;

    @BeforeEach
    void start() throws Exception {
        server = await(vertx.createHttpServer()
                .requestHandler(request -> handler.handle(request))
                .listen(0, "127.0.0.1"));
        client = client(LIMITS);
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    @Test
    void readsRows() throws Exception {
        handler = request -> request.response()
                .setStatusCode(request.uri().equals("/tables/claims/rows/team%2Fa%20b%3F") ? 200 : 500)
                .end("{\"key\":\"team/a b?\",\"version\":3,\"value\":{\"x\":1}}");

        Row row = await(client.read(ROW)).row().orElseThrow();

        assertThat(row.version(), is(3L));
        assertThat(row.value().path("x").asInt(), is(1));
    }

    @Test
    void listsPageAfterPage() throws Exception {
        handler = request -> request.response().end(page(request.getParam("after")));

        ListResult list = await(client.listAll("tickets", ""));

        assertThat(list.rows(), hasSize(TableService.MAX_ROWS_PER_PAGE + 1));
    }

    private static String page(String after) {
        String row = "{\"key\":\"k\",\"version\":1,\"value\":null}";
        int count = after.isEmpty() ? TableService.MAX_ROWS_PER_PAGE : 1;
        return "{\"rows\":[" + String.join(",", Collections.nCopies(count, row)) + "]}";
    }

    @Test
    void missingRowIsNotAFailure() throws Exception {
        handler = request -> request.response().setStatusCode(404).end();

        assertThat(await(client.read(ROW)), is(ReadResult.MISSING));
    }

    @Test
    void transactionIsCommitted() throws Exception {
        handler = request -> request.body()
                .onSuccess(body -> request.response()
                        .setStatusCode(body.toString().equals(EXPECTED_BODY) ? 200 : 400)
                        .end("{\"committed\":true}"));

        assertThat(await(client.transact(TRANSACTION)), is(new TransactResult.Committed()));
    }

    private static final String EXPECTED_BODY =
            "{\"conditions\":[{\"table\":\"claims\",\"key\":\"team/a b?\",\"version\":0}],"
                    + "\"writes\":[{\"table\":\"claims\",\"key\":\"team/a b?\",\"value\":{\"x\":1}},"
                    + "{\"table\":\"head\",\"key\":\"ticket\",\"value\":null}]}";

    @Test
    void conflictNamesTheRows() throws Exception {
        handler = request -> request.response()
                .setStatusCode(409)
                .end("{\"committed\":false,\"failed\":[{\"table\":\"claims\",\"key\":\"team/a b?\",\"version\":4}]}");

        assertThat(await(client.transact(TRANSACTION)), is(new TransactResult.Conflict(Set.of(ROW))));
    }

    @Test
    void refusedTransactionIsNotExecuted() throws Exception {
        handler = request -> request.response().setStatusCode(503).end();

        assertThat(await(client.transact(TRANSACTION)), is(new TransactResult.Unavailable()));
    }

    @Test
    void transactionToAServerThatIsDownIsNotExecuted() throws Exception {
        // A bound port without a listener refuses connections. Closing the server is not enough, because its selector
        // may accept a connection after the close has been reported.
        try (Socket port = new Socket()) {
            port.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            client = client(LIMITS, port.getLocalPort());

            assertThat(await(client.transact(TRANSACTION)), is(new TransactResult.Unavailable()));
            assertThat(await(client.read(ROW)), is(ReadResult.UNAVAILABLE));
        }
    }

    @Test
    void closedConnectionLeavesATransactionUnknown() throws Exception {
        handler = request -> request.endHandler(ignored -> request.connection().close());

        assertThat(await(client.transact(TRANSACTION)), is(new TransactResult.Unknown()));
        assertThat(await(client.read(ROW)), is(ReadResult.UNAVAILABLE));
    }

    @Test
    void timeoutLeavesATransactionUnknown() throws Exception {
        client = connected(SHORT_TRANSACTIONS);
        handler = request -> {};

        assertThat(await(client.transact(TRANSACTION)), is(new TransactResult.Unknown()));
        assertThat(counters.value(TableCounter.ANSWERS_LOST), is(1L));
    }

    @Test
    void incompleteBodyLeavesATransactionUnknown() throws Exception {
        client = connected(SHORT_TRANSACTIONS);
        handler = request -> {
            request.response().setChunked(true).write("{");
        };

        assertThat(await(client.transact(TRANSACTION)), is(new TransactResult.Unknown()));
    }

    @Test
    void requestBeyondTheQueueLimitIsNotExecuted() throws Exception {
        Promise<HttpServerRequest> received = Promise.promise();
        handler = received::tryComplete;
        Future<TransactResult> first = client.transact(TRANSACTION);
        HttpServerRequest firstRequest = await(received.future());
        Future<TransactResult> waits = client.transact(TRANSACTION);
        Future<TransactResult> tooMany = client.transact(TRANSACTION);
        assertThat(await(tooMany), is(new TransactResult.Unavailable()));

        handler = request -> request.response().end("{\"committed\":true}");
        firstRequest.response().end("{\"committed\":true}");

        assertThat(await(first), is(new TransactResult.Committed()));
        assertThat(await(waits), is(new TransactResult.Committed()));
    }

    @Test
    void requestQueuedUntilItsTimeoutIsNotExecuted() throws Exception {
        client = client(SHORT_TRANSACTIONS);
        Promise<HttpServerRequest> received = Promise.promise();
        handler = received::tryComplete;
        client.read(ROW);
        await(received.future());

        assertThat(await(client.transact(TRANSACTION)), is(new TransactResult.Unavailable()));
    }

    @Test
    void failsFastWhileTheServiceIsDownUntilAProbeSucceeds() throws Exception {
        handler = request -> request.response().setStatusCode(503).end();
        client = client(new TableLimits(20_000, 20_000, 1, 1, 2, 60_000));
        for (int i = 0; i < 4; i++) {
            assertThat(await(client.read(ROW)), is(ReadResult.UNAVAILABLE));
        }
        assertThat(counters.value(TableCounter.FAILED_FAST), is(2L));

        nowNanos = TimeUnit.MINUTES.toNanos(1);
        handler = request -> request.response().setStatusCode(404).end();
        assertThat(await(client.read(ROW)), is(ReadResult.MISSING));
        assertThat(await(client.read(ROW)), is(ReadResult.MISSING));
        assertThat(counters.value(TableCounter.FAILED_FAST), is(2L));
    }

    /** Returns a client with an established connection, so that its timeouts apply only to responses. */
    private TableClient connected(TableLimits limits) throws Exception {
        TableClient connected = client(limits);
        handler = request -> request.response().setStatusCode(404).end();
        assertThat(await(connected.read(ROW)), is(ReadResult.MISSING));
        return connected;
    }

    private TableClient client(TableLimits limits) {
        return client(limits, server.actualPort());
    }

    private TableClient client(TableLimits limits, int port) {
        return new TableClient(vertx.getOrCreateContext(), "127.0.0.1", port, limits, () -> nowNanos, counters);
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
