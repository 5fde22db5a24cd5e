package org.knapweedmount.standins.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * In-memory implementation of the table service and the object store, independent of the HTTP server.
 *
 * <p>Not thread-safe.
 */
public final class PlatformService {
    private static final Pattern ROW = Pattern.compile("/tables/([^/]+)/rows/(.+)");
    private static final Pattern ROWS = Pattern.compile("/tables/([^/]+)/rows");
    private static final Pattern OBJECT = Pattern.compile("/objects/(.+)");
    private static final String OBJECT_TYPE = "application/octet-stream";

    private final TableStore tables = new TableStore();
    private final Map<String, Buffer> objects = new HashMap<>();

    private record Committed(boolean committed) {}

    private record Conflict(boolean committed, List<Condition> failed) {}

    private record Rows(List<Row> rows) {}

    private record Stored(String name) {}

    /**
     * Executes a request.
     *
     * @param request the request
     * @return the response
     */
    public PlatformResponse handle(PlatformRequest request) {
        Matcher row = ROW.matcher(request.path());
        if (row.matches()) {
            return request.isWrite() ? methodNotAllowed() : row(row.group(1), row.group(2));
        }
        Matcher rows = ROWS.matcher(request.path());
        if (rows.matches()) {
            return request.isWrite() ? methodNotAllowed() : rows(rows.group(1), request.query());
        }
        Matcher object = OBJECT.matcher(request.path());
        if (object.matches()) {
            return object(object.group(1), request);
        }
        if (request.path().equals("/transactions")) {
            return request.method().equals(HttpMethod.POST) ? transaction(request.body()) : methodNotAllowed();
        }
        return PlatformResponse.problem(404, "unknown path: " + request.path());
    }

    private PlatformResponse row(String table, String key) {
        return tables.row(table, key)
                .map(row -> PlatformResponse.json(200, row))
                .orElseGet(() -> PlatformResponse.problem(404, "row not found: " + key + " in table " + table));
    }

    private PlatformResponse rows(String table, RowQuery query) {
        return PlatformResponse.json(200, new Rows(tables.rows(table, query.prefix(), query.after(), query.limit())));
    }

    private PlatformResponse transaction(Buffer body) {
        try {
            List<Condition> failed = tables.commit(Transaction.parse(JsonHttp.parse(body)));
            return failed.isEmpty()
                    ? PlatformResponse.json(200, new Committed(true))
                    : PlatformResponse.json(409, new Conflict(false, failed));
        } catch (ParseException e) {
            return PlatformResponse.problem(400, e.getMessage());
        }
    }

    private PlatformResponse object(String name, PlatformRequest request) {
        return switch (request.method().name()) {
            case "PUT" -> {
                boolean created = objects.put(name, request.body()) == null;
                yield PlatformResponse.json(created ? 201 : 200, new Stored(name));
            }
            case "GET" -> objectResponse(objects.get(name), name);
            case "DELETE" -> objectResponse(objects.remove(name), name);
            default -> methodNotAllowed();
        };
    }

    private static PlatformResponse objectResponse(Buffer stored, String name) {
        if (stored == null) {
            return PlatformResponse.problem(404, "object not found: " + name);
        }
        return new PlatformResponse(200, OBJECT_TYPE, stored);
    }

    private static PlatformResponse methodNotAllowed() {
        return PlatformResponse.problem(405, "the method is not allowed for this path");
    }
}
