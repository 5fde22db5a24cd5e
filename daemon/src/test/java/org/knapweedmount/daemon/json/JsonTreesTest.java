package org.knapweedmount.daemon.json;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class JsonTreesTest {
    private static final long STACK_BYTES = 256 * 1_024;

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "7",
                "\"ñ\\n\"",
                "{\"a\":[1,-2,9007199254740993,123456789012345678901234567890,1.5],\"b\":{\"c\":null,\"d\":true}}",
                "[[],{},[{\"x\":false}]]"
            })
    void documentsAreReadAndWrittenLikeByTheObjectMapper(String json) throws IOException {
        JsonNode expected = new ObjectMapper().readTree(json);

        JsonNode read = JsonTrees.read(utf8(json));

        assertThat(read, is(expected));
        assertThat(new ObjectMapper().readTree(JsonTrees.write(read)), is(expected));
    }

    /** Values that are nested deeply took more of the stack than the threads of an entry have. */
    @Test
    void documentThatIsNestedTooDeeplyIsRefused() throws InterruptedException {
        byte[] nested = utf8("[".repeat(900) + "]".repeat(900));
        List<Throwable> failures = new ArrayList<>();
        Thread reader = new Thread(
                null,
                () -> failures.add(assertThrows(IOException.class, () -> JsonTrees.read(nested))),
                "reader",
                STACK_BYTES);
        reader.setUncaughtExceptionHandler((thread, failure) -> failures.add(failure));
        reader.start();
        reader.join();

        assertThat(failures, contains(instanceOf(IOException.class)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"a\":}", "{\"a\":1}}", "{} {}", "[1,", "nul", "{\"a\":1,}", "// c\n{}"})
    void invalidDocumentIsRejected(String json) {
        assertThrows(IOException.class, () -> JsonTrees.read(utf8(json)));
    }

    @Test
    void settingsMayHaveComments() throws IOException {
        JsonNode read = JsonTrees.readWithComments("// first\n{\"a\": /* second */ 1}");

        assertThat(read.path("a").asInt(), is(1));
    }

    @Test
    void bytesAreWrittenInBase64() {
        byte[] json = JsonTrees.write(new ObjectMapper().createObjectNode().put("value", new byte[] {1, 2, 3}));

        assertThat(new String(json, StandardCharsets.UTF_8), is("{\"value\":\"AQID\"}"));
    }
}
