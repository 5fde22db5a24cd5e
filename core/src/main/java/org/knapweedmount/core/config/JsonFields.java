package org.knapweedmount.core.config;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.knapweedmount.api.ParseException;

/**
 * Reads and validates the fields of a JSON object from an untrusted source.
 *
 * <p>Each error message contains the path of the field, the value found and the values expected.
 */
public final class JsonFields {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .build();
    private static final int MAX_SHOWN_LENGTH = 60;

    private final String path;
    private final JsonNode node;

    private JsonFields(String path, JsonNode node) {
        this.path = path;
        this.node = node;
    }

    /**
     * Parses a document that consists of one JSON object; Java-style comments are allowed.
     *
     * @param json the document in UTF-8
     * @return the object's fields
     * @throws ParseException if the document is not a JSON object; a syntax error is reported with line and column
     */
    public static JsonFields parse(byte[] json) throws ParseException {
        try {
            JsonNode node = MAPPER.readTree(json);
            return of("", node);
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            String place =
                    location == null ? "" : "line " + location.getLineNr() + ", column " + location.getColumnNr();
            throw new ParseException(place + ": " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new ParseException("the document cannot be read: " + e.getMessage(), e);
        }
    }

    /**
     * Wraps a parsed node.
     *
     * @param path the node's path for error messages, empty for the whole document
     * @param node the node
     * @return the object's fields
     * @throws ParseException if the node is not an object
     */
    public static JsonFields of(String path, JsonNode node) throws ParseException {
        if (!node.isObject()) {
            throw error(path, node, "an object");
        }
        return new JsonFields(path, node);
    }

    /**
     * Checks that the object has no unknown fields.
     *
     * @param names the names of the known fields
     * @throws ParseException if there is a field with another name
     */
    public void allowOnly(Set<String> names) throws ParseException {
        for (Iterator<String> present = node.fieldNames(); present.hasNext(); ) {
            String name = present.next();
            if (!names.contains(name)) {
                throw new ParseException(pathOf(name) + ": unknown field; allowed are " + new TreeSet<>(names));
            }
        }
    }

    /**
     * Returns whether a field is present and not null.
     *
     * @param name the field
     * @return true if it has a value
     */
    public boolean has(String name) {
        return node.hasNonNull(name);
    }

    /**
     * Reads a required string.
     *
     * @param name the field
     * @return the string
     * @throws ParseException if the field is missing or not a string
     */
    public String text(String name) throws ParseException {
        JsonNode value = required(name, "a text");
        if (!value.isTextual()) {
            throw error(pathOf(name), value, "a text");
        }
        return value.textValue();
    }

    /**
     * Reads an optional string.
     *
     * @param name the field
     * @return the string, empty if the field is missing
     * @throws ParseException if the field is not a string
     */
    public Optional<String> optionalText(String name) throws ParseException {
        return has(name) ? Optional.of(text(name)) : Optional.empty();
    }

    /**
     * Reads the required name of a service, kind or team.
     *
     * @param name the field
     * @return the name
     * @throws ParseException if the field is missing or not a valid name
     */
    public String objectName(String name) throws ParseException {
        String value = text(name);
        if (!ObjectNames.isValid(value)) {
            throw error(pathOf(name), node.get(name), ObjectNames.ALLOWED);
        }
        return value;
    }

    /**
     * Reads a required integer.
     *
     * @param name the field
     * @param min the minimum value
     * @param max the maximum value
     * @return the number
     * @throws ParseException if the field is missing, not an integer or out of range
     */
    public long wholeNumber(String name, long min, long max) throws ParseException {
        String allowed = "a whole number from " + min + " to " + max;
        JsonNode value = required(name, allowed);
        boolean inRange = value.canConvertToLong() && value.longValue() >= min && value.longValue() <= max;
        if (!value.isIntegralNumber() || !inRange) {
            throw error(pathOf(name), value, allowed);
        }
        return value.longValue();
    }

    /**
     * Reads an optional integer.
     *
     * @param name the field
     * @param min the minimum value
     * @param max the maximum value
     * @param defaultValue the default value
     * @return the number, the default value if the field is missing
     * @throws ParseException if the field is not an integer or out of range
     */
    public int wholeNumber(String name, int min, int max, int defaultValue) throws ParseException {
        return has(name) ? (int) wholeNumber(name, (long) min, (long) max) : defaultValue;
    }

    /**
     * Reads a required number.
     *
     * @param name the field
     * @param min the minimum value
     * @param max the maximum value
     * @return the number
     * @throws ParseException if the field is missing, not a number or out of range
     */
    public double number(String name, double min, double max) throws ParseException {
        String allowed = "a number from " + min + " to " + max;
        JsonNode value = required(name, allowed);
        if (!value.isNumber() || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
            throw error(pathOf(name), value, allowed);
        }
        return value.doubleValue();
    }

    /**
     * Reads an optional boolean.
     *
     * @param name the field
     * @param defaultValue the default value
     * @return the boolean, the default value if the field is missing
     * @throws ParseException if the field is not a boolean
     */
    public boolean flag(String name, boolean defaultValue) throws ParseException {
        if (!has(name)) {
            return defaultValue;
        }
        JsonNode value = node.get(name);
        if (!value.isBoolean()) {
            throw error(pathOf(name), value, "true or false");
        }
        return value.booleanValue();
    }

    /**
     * Reads a required boolean.
     *
     * @param name the field
     * @return the boolean
     * @throws ParseException if the field is missing or not a boolean
     */
    public boolean flag(String name) throws ParseException {
        required(name, "true or false");
        return flag(name, false);
    }

    /**
     * Reads an optional object.
     *
     * @param name the field
     * @return the object's fields, empty if the field is missing
     * @throws ParseException if the field is not an object
     */
    public Optional<JsonFields> object(String name) throws ParseException {
        return has(name) ? Optional.of(of(pathOf(name), node.get(name))) : Optional.empty();
    }

    /**
     * Reads a required, non-empty array of objects.
     *
     * @param name the field
     * @param max the maximum number of objects
     * @return the fields of each object
     * @throws ParseException if the field is missing, not an array of objects, empty or too long
     */
    public List<JsonFields> objects(String name, int max) throws ParseException {
        String allowed = "a list of 1 to " + max + " objects";
        JsonNode list = required(name, allowed);
        if (!list.isArray()) {
            throw error(pathOf(name), list, allowed);
        }
        if (list.isEmpty() || list.size() > max) {
            throw new ParseException(pathOf(name) + ": " + list.size() + " objects; expected " + allowed);
        }
        List<JsonFields> objects = new ArrayList<>(list.size());
        for (int i = 0; i < list.size(); i++) {
            objects.add(of(pathOf(name) + "[" + i + "]", list.get(i)));
        }
        return objects;
    }

    /**
     * Creates an exception for a field that the caller has found to be missing or invalid.
     *
     * @param name the field
     * @param allowed a description of the valid values
     * @return the exception, to be thrown by the caller
     */
    public ParseException invalidValue(String name, String allowed) {
        return has(name) ? error(pathOf(name), node.get(name), allowed) : missing(name, allowed);
    }

    private JsonNode required(String name, String allowed) throws ParseException {
        if (!has(name)) {
            throw missing(name, allowed);
        }
        return node.get(name);
    }

    private ParseException missing(String name, String allowed) {
        return new ParseException(pathOf(name) + ": missing; expected " + allowed);
    }

    private static ParseException error(String path, JsonNode found, String allowed) {
        String shown = found.toString();
        if (shown.length() > MAX_SHOWN_LENGTH) {
            shown = shown.substring(0, MAX_SHOWN_LENGTH) + "...";
        }
        String place = path.isEmpty() ? "the document" : path;
        return new ParseException(place + ": " + shown + " is not allowed; expected " + allowed);
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
