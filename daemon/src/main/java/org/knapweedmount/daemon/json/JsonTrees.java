package org.knapweedmount.daemon.json;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads and writes JSON trees with the streaming parser.
 *
 * <p>Avoids the object mapper, which also initializes date and number formats, at a cost of 0.1 s of CPU time when the
 * process starts.
 */
public final class JsonTrees {
    /** Nested values are read recursively, and the threads of the prepared VMs have a stack of 256 KiB. */
    private static final StreamReadConstraints CONSTRAINTS =
            StreamReadConstraints.builder().maxNestingDepth(64).build();

    private static final JsonFactory STRICT =
            JsonFactory.builder().streamReadConstraints(CONSTRAINTS).build();
    private static final JsonFactory WITH_COMMENTS = JsonFactory.builder()
            .streamReadConstraints(CONSTRAINTS)
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .build();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final int INITIAL_BUFFER_BYTES = 512;

    private JsonTrees() {}

    /**
     * Parses a document.
     *
     * @param json the document, in UTF-8
     * @return the root of the tree
     * @throws IOException if the document is empty or malformed, is nested too deeply, or content follows it
     */
    public static JsonNode read(byte[] json) throws IOException {
        try (JsonParser parser = STRICT.createParser(json)) {
            return read(parser);
        }
    }

    /**
     * Parses a document that may contain Java comments.
     *
     * @param json the document
     * @return the root of the tree
     * @throws IOException if the document is empty or malformed, or content follows it
     */
    public static JsonNode readWithComments(String json) throws IOException {
        try (JsonParser parser = WITH_COMMENTS.createParser(json)) {
            return read(parser);
        }
    }

    private static JsonNode read(JsonParser parser) throws IOException {
        JsonToken first = parser.nextToken();
        if (first == null) {
            throw new JsonParseException(parser, "expected a JSON document, found no content");
        }
        JsonNode root = value(parser, first);
        if (parser.nextToken() != null) {
            throw new JsonParseException(parser, "unexpected content after the JSON document");
        }
        return root;
    }

    private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            default -> throw new JsonParseException(parser, "unexpected token " + token);
        };
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode node = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            node.set(name, value(parser, parser.nextToken()));
        }
        return node;
    }

    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode node = NODES.arrayNode();
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            node.add(value(parser, token));
        }
        return node;
    }

    /**
     * Serializes a document.
     *
     * @param root the root of the tree
     * @return the document in UTF-8
     */
    public static byte[] write(JsonNode root) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator generator = STRICT.createGenerator(out)) {
            write(root, generator);
        } catch (IOException e) {
            throw new IllegalStateException("serializing a JSON tree to memory failed", e);
        }
        return out.toByteArray();
    }

    private static void write(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                for (Map.Entry<String, JsonNode> field : node.properties()) {
                    generator.writeFieldName(field.getKey());
                    write(field.getValue(), generator);
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode item : node) {
                    write(item, generator);
                }
                generator.writeEndArray();
            }
            case NUMBER -> writeNumber(node, generator);
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            case BINARY -> generator.writeBinary(node.binaryValue());
            case STRING -> generator.writeString(node.textValue());
            default -> generator.writeNull();
        }
    }

    private static void writeNumber(JsonNode node, JsonGenerator generator) throws IOException {
        if (node.isIntegralNumber() && node.canConvertToLong()) {
            generator.writeNumber(node.longValue());
        } else if (node.isIntegralNumber()) {
            generator.writeNumber(node.bigIntegerValue());
        } else {
            generator.writeNumber(node.doubleValue());
        }
    }
}
