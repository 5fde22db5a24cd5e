package org.knapweedmount.daemon.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.daemon.json.JsonTrees;

/** Serializes requests to the table service and parses its responses. */
final class TableJson {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private TableJson() {}

    static Buffer transaction(Transaction transaction) {
        ObjectNode root = NODES.objectNode();
        ArrayNode conditions = root.putArray("conditions");
        for (Transaction.Condition condition : transaction.conditions()) {
            putRowId(conditions.addObject(), condition.row()).put("version", condition.version());
        }
        ArrayNode writes = root.putArray("writes");
        for (Transaction.Write write : transaction.writes()) {
            putRowId(writes.addObject(), write.row()).set("value", write.value().orElse(NODES.nullNode()));
        }
        return Buffer.buffer(JsonTrees.write(root));
    }

    private static ObjectNode putRowId(ObjectNode object, RowId row) {
        return object.put("table", row.table()).put("key", row.key());
    }

    static Row row(String table, Buffer body) throws ParseException {
        return row(table, parse(body));
    }

    static List<Row> rows(String table, Buffer body) throws ParseException {
        List<Row> rows = new ArrayList<>();
        for (JsonNode row : parse(body).path("rows")) {
            rows.add(row(table, row));
        }
        return rows;
    }

    static Set<RowId> failedRows(Buffer body) throws ParseException {
        Set<RowId> failed = new HashSet<>();
        for (JsonNode row : parse(body).path("failed")) {
            failed.add(new RowId(row.path("table").asText(), row.path("key").asText()));
        }
        return failed;
    }

    private static Row row(String table, JsonNode row) throws ParseException {
        long version = row.path("version").asLong();
        if (!row.path("key").isTextual() || version < 1 || !row.has("value")) {
            throw new ParseException("the table service sent a row without a text key, a positive version or a value");
        }
        return new Row(new RowId(table, row.path("key").textValue()), version, row.get("value"));
    }

    private static JsonNode parse(Buffer body) throws ParseException {
        try {
            return JsonTrees.read(body.getBytes());
        } catch (IOException e) {
            throw new ParseException("the table service sent a response that is not valid JSON", e);
        }
    }
}
