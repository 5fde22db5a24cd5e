package org.knapweedmount.standins.platform;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.standins.support.JsonHttp;
import org.tinylog.Logger;

/**
 * HTTP server of the platform stand-in.
 *
 * <p>The settings are read and changed at {@code /control}, which responds in every mode. All handlers run on the
 * verticle's event loop.
 */
public final class PlatformServer extends VerticleBase {
    private static final String CONTROL_PATH = "/control";

    private final String host;
    private final int port;
    private final PlatformService service = new PlatformService();
    private PlatformControl control = PlatformControl.INITIAL;
    private long reads;
    private long writes;
    private HttpServer server;

    /** The response to requests for {@code /control}. */
    private record Status(String mode, int delayMillis, long reads, long writes) {}

    /**
     * Creates a server that listens once the verticle is deployed.
     *
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, 0 to use any free port
     */
    public PlatformServer(String host, int port) {
        this.host = host;
        this.port = port;
    }

    @Override
    public Future<?> start() {
        server = vertx.createHttpServer().requestHandler(this::handleRequest);
        return server.listen(port, host);
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return a TCP port, known once the verticle has been deployed
     */
    public int port() {
        return server.actualPort();
    }

    private void handleRequest(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            try {
                dispatch(request, body);
            } catch (ParseException e) {
                send(request, PlatformResponse.problem(400, e.getMessage()));
            }
        });
    }

    private void dispatch(HttpServerRequest request, Buffer body) throws ParseException {
        PlatformRequest parsed =
                new PlatformRequest(request.method(), JsonHttp.decodedPath(request), query(request), body);
        if (parsed.path().equals(CONTROL_PATH)) {
            handleControl(request, parsed);
            return;
        }
        if (parsed.isWrite()) {
            writes++;
        } else {
            reads++;
        }
        if (control.delayMillis() > 0) {
            vertx.setTimer(control.delayMillis(), timer -> serve(request, parsed));
            return;
        }
        serve(request, parsed);
    }

    private void handleControl(HttpServerRequest request, PlatformRequest parsed) throws ParseException {
        if (parsed.method().equals(HttpMethod.PUT)) {
            control = PlatformControl.parse(JsonHttp.parse(parsed.body()));
            Logger.info("mode set to {}, delay to {} ms", control.mode().text(), control.delayMillis());
        }
        JsonHttp.respond(request, 200, new Status(control.mode().text(), control.delayMillis(), reads, writes));
    }

    private void serve(HttpServerRequest request, PlatformRequest parsed) {
        ServiceMode mode = control.mode();
        PlatformResponse response =
                mode.executesRequests() ? service.handle(parsed) : PlatformResponse.problem(503, "outage");
        switch (mode.responseAction(parsed.isWrite())) {
            case RESPOND, REJECT -> send(request, response);
            case CLOSE_CONNECTION -> request.connection().close();
            default -> {
                return;
            }
        }
    }

    private static void send(HttpServerRequest request, PlatformResponse response) {
        if (request.response().closed()) {
            return;
        }
        request.response()
                .setStatusCode(response.status())
                .putHeader("Content-Type", response.contentType())
                .end(response.body());
    }

    private static RowQuery query(HttpServerRequest request) throws ParseException {
        return RowQuery.parse(request.getParam("prefix"), request.getParam("after"), request.getParam("limit"));
    }
}
