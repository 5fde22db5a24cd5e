package org.knapweedmount.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads JSON files and responses, and creates JSON objects. */
final class JsonText {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    private JsonText() {}

    /**
     * Reads a file with one JSON object; comments are allowed.
     *
     * @throws CliException if the file cannot be read or does not contain a JSON object
     */
    static ObjectNode readFile(Path file) throws CliException {
        try {
            JsonNode node = MAPPER.readTree(Files.readString(file));
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw new CliException(ExitCode.USAGE, file + " does not contain a JSON object");
        } catch (JsonProcessingException e) {
            String where =
                    e.getLocation() == null ? "" : " line " + e.getLocation().getLineNr();
            throw new CliException(ExitCode.USAGE, file + where + ": " + e.getOriginalMessage(), e);
        } catch (NoSuchFileException e) {
            throw new CliException(ExitCode.USAGE, "no such file: " + file, e);
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, file + " cannot be read: " + e.getMessage(), e);
        }
    }

    /** Parses a response; returns an empty object if it is not valid JSON. */
    static JsonNode parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node.isMissingNode() ? MAPPER.createObjectNode() : node;
        } catch (JsonProcessingException e) {
            return MAPPER.createObjectNode();
        }
    }

    /** Creates an empty object. */
    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }
}
