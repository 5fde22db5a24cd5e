import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** A stand-in for the platform's table store: rows, transactions and the feed, all in memory. */
final class Store {
    private final Map<String, TreeMap<String, Object[]>> tables = new TreeMap<>();
    private final UnaryOperator<String> written;
    private long version;

    /** Creates a store; the function maps the text of each written row (the identity, or relay addresses). */
    Store(UnaryOperator<String> written) {
        this.written = written;
    }

    void listen(String host, int port) throws IOException {
        Http.serve(host, port, (method, path, query, exchange, body) -> {
            if (path.equals(Names.READ_CALL)) {
                return get(query);
            }
            if (path.equals(Names.FOLLOW_CALL)) {
                return feed(query);
            }
            return path.equals(Names.TRANSACT_CALL) ? transact(Json.object(body)) : new Http.Answer(404, "");
        });
    }

    synchronized void config(Map<String, Object> config) {
        put("op", "config", Json.write(config));
    }

    private void put(String table, String key, String text) {
        version++;
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Object[] {value, version});
        notifyAll();
    }

    private Map<String, Object> answer(String table, Map<String, Object[]> rows) {
        List<Object> list = new ArrayList<>();
        rows.forEach((key, row) -> list.add(
                Json.map("table", table, "part", "", "key", key, "value", row[0], "ver", row[1])));
        return Json.map("rows", list, "hasMore", false, "ver", version, "nowMs", System.nanoTime() / 1_000_000);
    }

    private synchronized Http.Answer get(Map<String, String> query) {
        String table = query.get("table");
        TreeMap<String, Object[]> found = new TreeMap<>();
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        tables.getOrDefault(table, new TreeMap<>())
                .tailMap(query.getOrDefault("from", ""), true)
                .forEach((key, row) -> {
                    if (found.size() < limit) {
                        found.put(key, row);
                    }
                });
        return new Http.Answer(200, Json.write(answer(table, found)));
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            TreeMap<String, Object[]> changed = new TreeMap<>();
            tables.getOrDefault(table, new TreeMap<>()).forEach((key, row) -> {
                if ((Long) row[1] > after) {
                    changed.put(key, row);
                }
            });
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                return new Http.Answer(200, Json.write(answer(table, changed)));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer transact(Map<String, Object> body) {
        TreeMap<String, Object[]> failed = new TreeMap<>();
        String failedTable = "";
        boolean holds = true;
        for (Object item : Json.list(body, "precondition")) {
            Map<String, Object> condition = (Map<String, Object>) item;
            failedTable = Json.text(condition, "table");
            Object[] row = tables.getOrDefault(failedTable, new TreeMap<>()).get(Json.text(condition, "key"));
            if ((row == null ? 0 : (Long) row[1]) != Json.number(condition, "ver")) {
                holds = false;
                if (row != null) {
                    failed.put(Json.text(condition, "key"), row);
                }
            }
        }
        if (!holds) {
            return new Http.Answer(412, Json.write(answer(failedTable, failed)));
        }
        for (Object item : Json.list(body, "writes")) {
            Map<String, Object> write = (Map<String, Object>) item;
            byte[] value = Base64.getDecoder().decode(Json.text(write, "value"));
            put(
                    Json.text(write, "table"),
                    Json.text(write, "key"),
                    written.apply(new String(value, StandardCharsets.UTF_8)));
        }
        for (Object item : Json.list(body, "remove")) {
            Map<String, Object> remove = (Map<String, Object>) item;
            version++;
            tables.getOrDefault(Json.text(remove, "table"), new TreeMap<>()).remove(Json.text(remove, "key"));
        }
        return new Http.Answer(200, Json.write(answer("", new TreeMap<>())));
    }
}
