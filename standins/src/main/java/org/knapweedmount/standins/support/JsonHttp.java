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

/** Static methods that parse and write HTTP requests and responses with JSON bodies. */
public final class JsonHttp {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonHttp() {}

    /**
     * Parses a body.
     *
     * @param body the bytes
     * @return the JSON value
     * @throws ParseException if the body is empty or not valid JSON
     */
    public static JsonNode parse(Buffer body) throws ParseException {
        try {
            JsonNode node = MAPPER.readTree(body.getBytes());
            if (!node.isMissingNode()) {
                return node;
            }
        } catch (IOException e) {
            throw new ParseException("the body is not valid JSON: " + e.getMessage(), e);
        }
        throw new ParseException("the body is empty; expected a JSON value");
    }

    /**
     * Writes a value as JSON.
     *
     * @param value a JSON value, a record, or a collection of these
     * @return the bytes
     */
    public static Buffer encode(Object value) {
        try {
            return Buffer.buffer(MAPPER.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON: " + value, e);
        }
    }

    /**
     * Responds to a request with a JSON body, unless the connection is already closed.
     *
     * @param request the request
     * @param status the HTTP status
     * @param value the value to write as the response body
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
     * Responds to a request without a body, unless the connection is already closed.
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
     * Returns the decoded path of a request.
     *
     * @param request the request
     * @return the decoded path without the query
     * @throws ParseException if the path is not a valid URI
     */
    public static String decodedPath(HttpServerRequest request) throws ParseException {
        try {
            return new URI(request.path()).getPath();
        } catch (URISyntaxException e) {
            throw new ParseException("the path is not a valid URI: " + request.path(), e);
        }
    }
}
