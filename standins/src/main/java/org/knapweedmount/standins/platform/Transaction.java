package org.knapweedmount.standins.platform;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;

/**
 * Writes that are applied atomically if all conditions hold, and otherwise not at all.
 *
 * @param conditions the conditions on rows
 * @param writes the writes to apply
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /** Makes immutable copies of the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }

    /**
     * Parses the body of a request to {@code /transactions}.
     *
     * @param body an object with the arrays {@code conditions} and {@code writes}, either of which may be missing
     * @return the transaction
     * @throws ParseException if a field is missing or has another type
     */
    public static Transaction parse(JsonNode body) throws ParseException {
        List<Condition> conditions = new ArrayList<>();
        for (JsonNode condition : body.path("conditions")) {
            conditions.add(new Condition(text(condition, "table"), text(condition, "key"), version(condition)));
        }
        List<Write> writes = new ArrayList<>();
        for (JsonNode write : body.path("writes")) {
            writes.add(new Write(text(write, "table"), text(write, "key"), value(write)));
        }
        return new Transaction(conditions, writes);
    }

    private static String text(JsonNode parent, String field) throws ParseException {
        JsonNode node = parent.path(field);
        if (!node.isTextual() || node.textValue().isEmpty()) {
            throw new ParseException("'" + field + "' must be a non-empty string in " + parent);
        }
        return node.textValue();
    }

    private static long version(JsonNode condition) throws ParseException {
        JsonNode node = condition.path("version");
        if (!node.canConvertToExactIntegral() || node.longValue() < 0) {
            throw new ParseException("'version' must be a whole number of at least 0 in " + condition);
        }
        return node.longValue();
    }

    private static JsonNode value(JsonNode write) throws ParseException {
        JsonNode value = write.path("value");
        if (!value.isObject() && !value.isNull()) {
            throw new ParseException("'value' must be an object or null in " + write);
        }
        return value;
    }
}
