package org.knapweedmount.standins.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.standins.support.HostPort;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * Stand-in of the platform's store: rows with one version counter for all tables, conditional writes and long polls.
 *
 * <p>Confined to one event loop.
 */
final class SoakStore {
    private static final String CONFIG_TABLE = "op";
    private static final String CONFIG_KEY = "config";
    private static final String EVACUATION_PREFIX = "evacuate/";
    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;

    private final Vertx vertx;
    private final UnaryOperator<String> writtenRow;
    private final Map<String, NavigableMap<String, Row>> tables = new TreeMap<>();
    private final List<Runnable> polls = new ArrayList<>();
    private long version;

    private record Row(String table, String key, String value, long version, boolean removed) {
        private ObjectNode json() {
            ObjectNode row = JsonNodeFactory.instance
                    .objectNode()
                    .put("table", table)
                    .put("part", "")
                    .put("key", key)
                    .put("value", value)
                    .put("ver", version);
            return removed ? row.put("removed", true) : row;
        }
    }

    /** Creates an empty store that changes the text of each row that a program writes by a function. */
    SoakStore(Vertx vertx, UnaryOperator<String> writtenRow) {
        this.vertx = vertx;
        this.writtenRow = writtenRow;
    }

    Future<HttpServer> listen(HostPort address) {
        return vertx.createHttpServer().requestHandler(this::handle).listen(address.port(), address.host());
    }

    /** Writes a version of the operator's configuration. */
    void writeConfig(JsonNode config) {
        put(CONFIG_TABLE, CONFIG_KEY, encode(JsonHttp.encode(config).toString()));
        wakePolls();
    }

    /** Writes the order to close a data centre; its value is no JSON. */
    void closeDataCentre(String name) {
        put(CONFIG_TABLE, EVACUATION_PREFIX + name, encode("closed by the soak"));
        wakePolls();
    }

    /** Removes the order to close a data centre. */
    void reopenDataCentre(String name) {
        remove(CONFIG_TABLE, EVACUATION_PREFIX + name);
        wakePolls();
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String value) {
        return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
    }

    private void put(String table, String key, String value) {
        version++;
        rows(table).put(key, new Row(table, key, value, version, false));
    }

    private void remove(String table, String key) {
        version++;
        rows(table).put(key, new Row(table, key, "", version, true));
    }

    private NavigableMap<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }

    private void wakePolls() {
        List<Runnable> waiting = List.copyOf(polls);
        polls.clear();
        waiting.forEach(Runnable::run);
    }

    private void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            try {
                switch (request.path()) {
                    case "/api/rows-get" -> get(request);
                    case "/api/rows-feed" -> follow(request);
                    case "/api/rows-tx" -> transact(request, JsonHttp.parse(body));
                    default -> JsonHttp.respond(request, 404);
                }
            } catch (ParseException e) {
                JsonHttp.respond(request, 400, e.getMessage());
            }
        });
    }

    private void get(HttpServerRequest request) {
        String from = request.getParam("from", "");
        int limit = Integer.parseInt(request.getParam("limit", "500"));
        List<Row> found = rows(request.getParam("table")).tailMap(from, true).values().stream()
                .filter(row -> !row.removed)
                .toList();
        List<Row> page = found.subList(0, Math.min(limit, found.size()));
        JsonHttp.respond(request, OK, answer(page).put("hasMore", page.size() < found.size()));
    }

    private void follow(HttpServerRequest request) {
        long after = Long.parseLong(request.getParam("after"));
        if (changed(request, after).isEmpty()) {
            Runnable poll = () -> JsonHttp.respond(request, OK, answer(changed(request, after)));
            polls.add(poll);
            vertx.setTimer(Long.parseLong(request.getParam("waitMs")), timer -> {
                if (polls.remove(poll)) {
                    poll.run();
                }
            });
            return;
        }
        JsonHttp.respond(request, OK, answer(changed(request, after)));
    }

    private List<Row> changed(HttpServerRequest request, long after) {
        return rows(request.getParam("table")).values().stream()
                .filter(row -> row.version > after)
                .toList();
    }

    private void transact(HttpServerRequest request, JsonNode body) {
        List<Row> conflicts = new ArrayList<>();
        boolean holds = true;
        for (JsonNode condition : body.path("precondition")) {
            Row row = rows(condition.path("table").asText())
                    .get(condition.path("key").asText());
            boolean exists = row != null && !row.removed;
            long found = exists ? row.version : 0;
            if (found != condition.path("ver").asLong()) {
                holds = false;
                if (exists) {
                    conflicts.add(row);
                }
            }
        }
        if (holds) {
            for (JsonNode write : body.path("writes")) {
                put(
                        write.path("table").asText(),
                        write.path("key").asText(),
                        encode(writtenRow.apply(decode(write.path("value").asText()))));
            }
            for (JsonNode remove : body.path("remove")) {
                remove(remove.path("table").asText(), remove.path("key").asText());
            }
        }
        JsonHttp.respond(request, holds ? OK : PRECONDITION_FAILED, answer(conflicts));
    }

    private ObjectNode answer(List<Row> found) {
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        ArrayNode array = answer.putArray("rows");
        found.forEach(row -> array.add(row.json()));
        return answer.put("hasMore", false).put("ver", version).put("nowMs", System.nanoTime() / 1_000_000);
    }
}
