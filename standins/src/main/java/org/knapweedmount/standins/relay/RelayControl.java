package org.knapweedmount.standins.relay;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * HTTP server that controls the network conditions of the relays.
 *
 * <p>{@code PUT /control} changes the relay whose {@code port} the body specifies, or all relays if it specifies none;
 * {@code GET /control} returns their conditions.
 */
final class RelayControl extends VerticleBase {
    private final String host;
    private final int port;
    private final List<Relay> relays;
    private HttpServer server;

    private record Status(int port, RelayConditions conditions) {}

    RelayControl(String host, int port, List<Relay> relays) {
        this.host = host;
        this.port = port;
        this.relays = List.copyOf(relays);
    }

    @Override
    public Future<?> start() {
        server = vertx.createHttpServer().requestHandler(this::handleRequest);
        return server.listen(port, host);
    }

    int port() {
        return server.actualPort();
    }

    private void handleRequest(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            try {
                if (request.method().equals(HttpMethod.PUT)) {
                    applyChange(JsonHttp.parse(body));
                }
                JsonHttp.respond(request, 200, status());
            } catch (ParseException e) {
                JsonHttp.respond(request, 400, e.getMessage());
            }
        });
    }

    private void applyChange(JsonNode change) throws ParseException {
        List<Relay> selected = relays.stream()
                .filter(relay -> change.path("port").asInt(relay.port()) == relay.port())
                .toList();
        if (selected.isEmpty()) {
            throw new ParseException("no relay listens on port " + change.path("port"));
        }
        for (Relay relay : selected) {
            relay.updateConditions(relay.conditions().withChange(change));
        }
    }

    private List<Status> status() {
        return relays.stream()
                .map(relay -> new Status(relay.port(), relay.conditions()))
                .toList();
    }
}
