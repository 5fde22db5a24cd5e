package org.knapweedmount.daemon.store;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/** An HTTP server for in-memory tables that runs on one event loop. */
public final class FakeTableServer {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final InMemoryTableService tables;
    private final HttpServer server;

    /**
     * Starts the server.
     *
     * @param vertx the Vert.x instance that runs the event loop
     * @param tables the tables
     * @throws Exception if no port is free
     */
    public FakeTableServer(Vertx vertx, InMemoryTableService tables) throws Exception {
        this.tables = tables;
        this.server = vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS);
    }

    /**
     * Returns the port.
     *
     * @return the TCP port
     */
    public int port() {
        return server.actualPort();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals("/transactions")) {
            request.body().onSuccess(body -> transact(request, body.getBytes()));
            return;
        }
        String[] parts = request.path().split("/", 5);
        if (parts.length == 4) {
            list(request, parts[2]);
        } else {
            read(request, new RowId(parts[2], URLDecoder.decode(parts[4], StandardCharsets.UTF_8)));
        }
    }

    private void read(HttpServerRequest request, RowId id) {
        ReadResult result = tables.read(id).result();
        int status = result.answered() ? 404 : 503;
        String body = result.row().map(row -> row(row).toString()).orElse("");
        request.response().setStatusCode(body.isEmpty() ? status : 200).end(body);
    }

    private void list(HttpServerRequest request, String table) {
        ListResult result = tables.list(table, request.getParam("after")).result();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode rows = json.putArray("rows");
        result.rows().forEach(row -> rows.add(row(row)));
        request.response().setStatusCode(result.answered() ? 200 : 503).end(json.toString());
    }

    private static ObjectNode row(Row row) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("key", row.id().key()).put("version", row.version()).set("value", row.value());
        return json;
    }

    private void transact(HttpServerRequest request, byte[] body) {
        TransactResult result = tables.transact(transaction(body)).result();
        if (result instanceof TransactResult.Committed) {
            request.response().end("{\"committed\":true}");
        } else if (result instanceof TransactResult.Conflict conflict) {
            ObjectNode json = JsonNodeFactory.instance.objectNode();
            ArrayNode failed = json.putArray("failed");
            conflict.failed()
                    .forEach(row -> failed.addObject().put("table", row.table()).put("key", row.key()));
            request.response().setStatusCode(409).end(json.toString());
        } else if (result instanceof TransactResult.Unavailable) {
            request.response().setStatusCode(503).end();
        } else {
            request.connection().close();
        }
    }

    private static Transaction transaction(byte[] body) {
        try {
            JsonNode json = MAPPER.readTree(body);
            List<Transaction.Condition> conditions = new ArrayList<>();
            for (JsonNode node : json.path("conditions")) {
                conditions.add(new Transaction.Condition(
                        rowId(node), node.path("version").asLong()));
            }
            List<Transaction.Write> writes = new ArrayList<>();
            for (JsonNode node : json.path("writes")) {
                Optional<JsonNode> value = Optional.of(node.path("value")).filter(present -> !present.isNull());
                writes.add(new Transaction.Write(rowId(node), value));
            }
            return new Transaction(conditions, writes);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot parse the transaction", e);
        }
    }

    private static RowId rowId(JsonNode node) {
        return new RowId(node.path("table").asText(), node.path("key").asText());
    }
}
