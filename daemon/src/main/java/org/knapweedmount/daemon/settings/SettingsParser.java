package org.knapweedmount.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;

/**
 * Parses JSON with comments into values with line numbers.
 *
 * <p>The tree model of Jackson does not keep line numbers, which error messages need.
 */
final class SettingsParser {
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_YAML_COMMENTS)
            .build();

    private final Path file;
    private final JsonParser parser;

    private SettingsParser(Path file, JsonParser parser) {
        this.file = file;
        this.parser = parser;
    }

    static SettingsValue.Members parse(Path file) throws SettingsException {
        try (JsonParser parser = JSON.createParser(Files.readAllBytes(file))) {
            return new SettingsParser(file, parser).document();
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw SettingsException.at(file, line, "", "invalid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw SettingsException.unreadable(file, e);
        }
    }

    private SettingsValue.Members document() throws IOException, SettingsException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw SettingsException.at(file, line(), "", "expected one JSON object");
        }
        SettingsValue.Members members = members("");
        if (parser.nextToken() != null) {
            throw SettingsException.at(file, line(), "", "unexpected content after the JSON object");
        }
        return members;
    }

    private SettingsValue.Members members(String prefix) throws IOException, SettingsException {
        int line = line();
        Map<String, SettingsValue> values = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            if (values.containsKey(key)) {
                throw SettingsException.at(file, line(), prefix + key, "duplicate key");
            }
            parser.nextToken();
            values.put(key, value(prefix + key));
        }
        return new SettingsValue.Members(line, values);
    }

    private SettingsValue value(String key) throws IOException, SettingsException {
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            return members(key + ".");
        }
        if (parser.currentToken() == JsonToken.START_ARRAY) {
            return items(key);
        }
        return new SettingsValue.Scalar(line(), parser.currentToken(), parser.getText());
    }

    private SettingsValue.Items items(String key) throws IOException, SettingsException {
        int line = line();
        List<SettingsValue> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(value(key));
        }
        return new SettingsValue.Items(line, values);
    }

    private int line() {
        return parser.currentTokenLocation().getLineNr();
    }
}
