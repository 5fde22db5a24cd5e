package org.knapweedmount.standins.support;

import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.ParseException;

/** Reads and writes JSON bodies. */
public final class JsonHttp {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonHttp() {}

    /**
     * Reads a body.
     *
     * @param body the bytes
     * @return the JSON value
     * @throws ParseException if the body is no JSON value
     */
    public static JsonNode parse(Buffer body) throws ParseException {
        try {
            JsonNode node = MAPPER.readTree(body.getBytes());
            if (!node.isMissingNode()) {
                return node;
            }
        } catch (IOException e) {
            throw new ParseException("the body is no JSON value: " + e.getMessage(), e);
        }
        throw new ParseException("the body is empty; expected a JSON value");
    }

    /**
     * Writes a value as JSON.
     *
     * @param value a JSON value, or a record or collection of such
     * @return the bytes
     */
    public static Buffer encode(Object value) {
        try {
            return Buffer.buffer(MAPPER.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written as JSON: " + value, e);
        }
    }

    /**
     * Answers a request with a JSON body, unless the connection has gone.
     *
     * @param request the request
     * @param status the HTTP status
     * @param value the body
     */
    public static void respond(HttpServerRequest request, int status, Object value) {
        if (request.response().closed()) {
            return;
        }
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(encode(value));
    }

    /**
     * Answers a request without a body, unless the connection has gone.
     *
     * @param request the request
     * @param status the HTTP status
     */
    public static void respond(HttpServerRequest request, int status) {
        if (request.response().closed()) {
            return;
        }
        request.response().setStatusCode(status).end();
    }

    /**
     * Returns the path of a request.
     *
     * @param request the request
     * @return the path without the query, decoded
     * @throws ParseException if the path is not encoded as a URI
     */
    public static String decodedPath(HttpServerRequest request) throws ParseException {
        try {
            return new URI(request.path()).getPath();
        } catch (URISyntaxException e) {
            throw new ParseException("the path is not encoded as a URI: " + request.path(), e);
        }
    }
}
