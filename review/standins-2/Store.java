import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: tables of rows with one version counter, conditional writes and a feed. */
final class Store {
    private final TreeMap<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private final HttpServer server;
    private long version;

    private record Row(String table, String key, String value, long version, boolean removed) {}

    Store(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 100);
        server.setExecutor(Executors.newCachedThreadPool(Stage.daemonThreads("store")));
        server.createContext("/", this::handle);
        server.start();
    }

    /** Writes the operator's configuration; the return is the confirmation. */
    synchronized void writeConfig(ObjectNode config) {
        put("op", "config", Base64.getEncoder().encodeToString(Stage.bytes(config)));
        notifyAll();
    }

    private void put(String table, String key, String value) {
        version++;
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(table, key, value, version, false));
    }

    private static Map<String, String> parameters(HttpExchange exchange) {
        Map<String, String> found = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            int end = pair.indexOf('=');
            found.put(pair.substring(0, end), URLDecoder.decode(pair.substring(end + 1), StandardCharsets.UTF_8));
        }
        return found;
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        try {
            Map<String, String> asked = parameters(exchange);
            Thread.sleep(4);
            String path = exchange.getRequestURI().getPath();
            if (path.equals(Names.of("store.read"))) {
                respond(exchange, 200, rows(asked));
            } else if (path.equals(Names.of("store.follow"))) {
                respond(exchange, 200, feed(asked));
            } else if (path.equals(Names.of("store.write"))) {
                transact(exchange, Stage.JSON.readTree(body));
            } else {
                respond(exchange, 404, List.of());
            }
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private synchronized List<Row> rows(Map<String, String> asked) {
        int limit = Integer.parseInt(asked.getOrDefault("limit", "500"));
        return tables.getOrDefault(asked.get("table"), new TreeMap<>())
                .tailMap(asked.getOrDefault("from", ""), true)
                .values()
                .stream()
                .filter(row -> !row.removed())
                .limit(limit)
                .toList();
    }

    private synchronized List<Row> feed(Map<String, String> asked) throws InterruptedException {
        long after = Long.parseLong(asked.get("after"));
        long endNanos = System.nanoTime() + 1_000_000L * Long.parseLong(asked.getOrDefault("waitMs", "0"));
        while (true) {
            List<Row> changed = tables.getOrDefault(asked.get("table"), new TreeMap<>()).values().stream()
                    .filter(row -> row.version() > after)
                    .sorted((one, other) -> Long.compare(one.version(), other.version()))
                    .toList();
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMillis <= 0) {
                return changed;
            }
            wait(leftMillis);
        }
    }

    private void transact(HttpExchange exchange, JsonNode call) throws IOException {
        List<Row> conflicts = new ArrayList<>();
        boolean holds = true;
        synchronized (this) {
            for (JsonNode condition : call.path("precondition")) {
                Row row = tables.getOrDefault(condition.path("table").asText(), new TreeMap<>())
                        .get(condition.path("key").asText());
                boolean there = row != null && !row.removed();
                if ((there ? row.version() : 0) != condition.path("ver").asLong()) {
                    holds = false;
                    if (there) {
                        conflicts.add(row);
                    }
                }
            }
            if (holds) {
                for (JsonNode write : call.path("writes")) {
                    put(write.path("table").asText(), write.path("key").asText(), write.path("value").asText());
                }
                for (JsonNode remove : call.path("remove")) {
                    version++;
                    String table = remove.path("table").asText();
                    String key = remove.path("key").asText();
                    tables.computeIfAbsent(table, name -> new TreeMap<>())
                            .put(key, new Row(table, key, "", version, true));
                }
                notifyAll();
            }
        }
        respond(exchange, holds ? 200 : 412, conflicts);
    }

    private void respond(HttpExchange exchange, int status, List<Row> found) throws IOException {
        ObjectNode answer = Stage.JSON.createObjectNode();
        ArrayNode array = answer.putArray("rows");
        for (Row row : found) {
            ObjectNode node = array.addObject();
            node.put("table", row.table()).put("part", "").put("key", row.key());
            node.put("value", row.value()).put("ver", row.version());
            if (row.removed()) {
                node.put("removed", true);
            }
        }
        long newest;
        synchronized (this) {
            newest = version;
        }
        answer.put("hasMore", false).put("ver", newest).put("nowMs", System.nanoTime() / 1_000_000);
        Stage.respond(exchange, status, answer);
    }
}
