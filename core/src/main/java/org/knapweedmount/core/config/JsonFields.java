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
 * Reads the fields of one JSON object that came from outside.
 *
 * <p>Each error names the field by its path, tells what was found and what is allowed.
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
     * Parses a document that holds one JSON object; comments as in Java are allowed.
     *
     * @param json the document in UTF-8
     * @return the object's fields
     * @throws ParseException if the document is no JSON object, with line and column
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
     * Wraps a node that has been parsed already.
     *
     * @param path the node's path for error messages, empty for the whole document
     * @param node the node
     * @return the object's fields
     * @throws ParseException if the node is no object
     */
    public static JsonFields of(String path, JsonNode node) throws ParseException {
        if (!node.isObject()) {
            throw error(path, node, "an object");
        }
        return new JsonFields(path, node);
    }

    /**
     * Refuses fields that have no meaning here.
     *
     * @param names the fields that are allowed
     * @throws ParseException if there is another field
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
     * Tells whether a field is present and not null.
     *
     * @param name the field
     * @return true if it has a value
     */
    public boolean has(String name) {
        return node.hasNonNull(name);
    }

    /**
     * Reads a text that must be there.
     *
     * @param name the field
     * @return the text
     * @throws ParseException if the field is missing or no text
     */
    public String text(String name) throws ParseException {
        JsonNode value = required(name, "a text");
        if (!value.isTextual()) {
            throw error(pathOf(name), value, "a text");
        }
        return value.textValue();
    }

    /**
     * Reads a text that may be missing.
     *
     * @param name the field
     * @return the text, empty if the field is missing
     * @throws ParseException if the field is no text
     */
    public Optional<String> optionalText(String name) throws ParseException {
        return has(name) ? Optional.of(text(name)) : Optional.empty();
    }

    /**
     * Reads the name of a service, kind or team.
     *
     * @param name the field
     * @return the name
     * @throws ParseException if the field is missing or holds no name
     */
    public String objectName(String name) throws ParseException {
        String value = text(name);
        if (!ObjectNames.isValid(value)) {
            throw error(pathOf(name), node.get(name), ObjectNames.ALLOWED);
        }
        return value;
    }

    /**
     * Reads a whole number.
     *
     * @param name the field
     * @param least the least value
     * @param most the greatest value
     * @return the number
     * @throws ParseException if the field is missing, no whole number or out of range
     */
    public long wholeNumber(String name, long least, long most) throws ParseException {
        String allowed = "a whole number from " + least + " to " + most;
        JsonNode value = required(name, allowed);
        boolean inRange = value.canConvertToLong() && value.longValue() >= least && value.longValue() <= most;
        if (!value.isIntegralNumber() || !inRange) {
            throw error(pathOf(name), value, allowed);
        }
        return value.longValue();
    }

    /**
     * Reads a whole number that may be missing.
     *
     * @param name the field
     * @param least the least value
     * @param most the greatest value
     * @param otherwise the value if the field is missing
     * @return the number
     * @throws ParseException if the field is no whole number or out of range
     */
    public int wholeNumber(String name, int least, int most, int otherwise) throws ParseException {
        return has(name) ? (int) wholeNumber(name, (long) least, (long) most) : otherwise;
    }

    /**
     * Reads a number.
     *
     * @param name the field
     * @param least the least value
     * @param most the greatest value
     * @return the number
     * @throws ParseException if the field is missing, no number or out of range
     */
    public double number(String name, double least, double most) throws ParseException {
        String allowed = "a number from " + least + " to " + most;
        JsonNode value = required(name, allowed);
        if (!value.isNumber() || !(value.doubleValue() >= least && value.doubleValue() <= most)) {
            throw error(pathOf(name), value, allowed);
        }
        return value.doubleValue();
    }

    /**
     * Reads a truth value that may be missing.
     *
     * @param name the field
     * @param otherwise the value if the field is missing
     * @return the truth value
     * @throws ParseException if the field is no truth value
     */
    public boolean flag(String name, boolean otherwise) throws ParseException {
        if (!has(name)) {
            return otherwise;
        }
        JsonNode value = node.get(name);
        if (!value.isBoolean()) {
            throw error(pathOf(name), value, "true or false");
        }
        return value.booleanValue();
    }

    /**
     * Reads a truth value that must be there.
     *
     * @param name the field
     * @return the truth value
     * @throws ParseException if the field is missing or no truth value
     */
    public boolean flag(String name) throws ParseException {
        required(name, "true or false");
        return flag(name, false);
    }

    /**
     * Reads an object that may be missing.
     *
     * @param name the field
     * @return the object's fields, empty if the field is missing
     * @throws ParseException if the field is no object
     */
    public Optional<JsonFields> object(String name) throws ParseException {
        return has(name) ? Optional.of(of(pathOf(name), node.get(name))) : Optional.empty();
    }

    /**
     * Reads a list of objects that must be there and not be empty.
     *
     * @param name the field
     * @param most the greatest number of objects
     * @return the fields of each object
     * @throws ParseException if the field is missing, no list of objects, empty or too long
     */
    public List<JsonFields> objects(String name, int most) throws ParseException {
        String allowed = "a list of 1 to " + most + " objects";
        JsonNode list = required(name, allowed);
        if (!list.isArray()) {
            throw error(pathOf(name), list, allowed);
        }
        if (list.isEmpty() || list.size() > most) {
            throw new ParseException(pathOf(name) + ": " + list.size() + " objects; expected " + allowed);
        }
        List<JsonFields> objects = new ArrayList<>(list.size());
        for (int i = 0; i < list.size(); i++) {
            objects.add(of(pathOf(name) + "[" + i + "]", list.get(i)));
        }
        return objects;
    }

    /**
     * Creates the error for a field whose value this class cannot judge.
     *
     * @param name the field
     * @param allowed what is allowed
     * @return the error, to be thrown
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
