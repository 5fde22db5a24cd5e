package org.knapweedmount.daemon.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.knapweedmount.api.Payload;

/** Serializes JSON documents to memory. */
public final class JsonOutput {
    private static final JsonFactory FACTORY = new JsonFactory();

    /** Writes the content of a document. */
    @FunctionalInterface
    public interface Content {
        /**
         * Writes the fields.
         *
         * @param json the generator, inside an object
         * @throws IOException if a value cannot be written
         */
        void write(JsonGenerator json) throws IOException;
    }

    private JsonOutput() {}

    /**
     * Serializes one object.
     *
     * @param content writes the object's fields
     * @return the document in UTF-8
     */
    public static Payload object(Content content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
            json.writeStartObject();
            content.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("serializing a JSON document to memory failed", e);
        }
        return Payload.of(bytes.toByteArray());
    }
}
