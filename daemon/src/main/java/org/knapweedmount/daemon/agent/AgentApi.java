package org.knapweedmount.daemon.agent;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Payload;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.http.BodyReader;
import org.knapweedmount.daemon.http.ConnectionLimit;
import org.knapweedmount.daemon.http.HttpCounter;
import org.knapweedmount.daemon.http.HttpFault;
import org.knapweedmount.daemon.http.HttpLimits;
import org.knapweedmount.daemon.http.HttpResponse;
import org.knapweedmount.daemon.http.Problem;
import org.knapweedmount.daemon.http.ProblemException;
import org.knapweedmount.daemon.http.ProblemWriter;
import org.knapweedmount.daemon.http.ProcessHealth;
import org.knapweedmount.daemon.http.ResponseSender;
import org.knapweedmount.daemon.http.ServerOptions;

/**
 * The HTTP interface of an agent for the endpoints and workers beside it, with health, readiness and metrics.
 *
 * <p>Runs on one event loop.
 */
final class AgentApi {
    private static final Pattern ENDPOINT_PATH = Pattern.compile("/v1/endpoints/([A-Za-z0-9._-]{1,64})(/usage)?");
    private static final int ID_GROUP = 1;
    private static final int USAGE_GROUP = 2;
    private static final int OK_STATUS = 200;
    private static final int NO_CONTENT_STATUS = 204;
    private static final int UNAVAILABLE_STATUS = 503;

    private final Context context;
    private final HttpLimits limits;
    private final EndpointRegistry registry;
    private final ProcessHealth health;
    private final Counters<HttpCounter> counters;
    private final BodyReader bodyReader;

    /** Handles a request after its body has been read; returns false if the agent cannot accept it at present. */
    private interface BodyAction {
        boolean run(Buffer body) throws ParseException;
    }

    AgentApi(
            Context context,
            HttpLimits limits,
            EndpointRegistry registry,
            ProcessHealth health,
            Counters<HttpCounter> counters) {
        this.context = context;
        this.limits = limits;
        this.registry = registry;
        this.health = health;
        this.counters = counters;
        this.bodyReader = new BodyReader(context.owner(), limits);
    }

    /** Starts the server, called on the event loop; completes with the server and its port. */
    Future<HttpServer> listen(String host, int port) {
        return context.owner()
                .createHttpServer(ServerOptions.of(limits).setHost(host).setPort(port))
                .connectionHandler(ConnectionLimit.of(limits, counters))
                .requestHandler(this::handle)
                .listen();
    }

    private void handle(HttpServerRequest request) {
        counters.increment(HttpCounter.REQUESTS);
        ResponseSender sender = new ResponseSender(context, request, health.draining());
        Matcher endpoint = ENDPOINT_PATH.matcher(request.path());
        if (endpoint.matches()) {
            handleEndpoint(request, sender, endpoint.group(ID_GROUP), endpoint.group(USAGE_GROUP) != null);
            return;
        }
        sender.sendNow(
                request.method().equals(HttpMethod.GET) ? getResponse(request.path()) : fault(HttpFault.NOT_FOUND, ""));
    }

    private HttpResponse getResponse(String path) {
        return switch (path) {
            case "/healthz" -> text(OK_STATUS, "ok\n");
            case "/readyz" -> readiness();
            case "/metrics" -> text(OK_STATUS, health.metrics());
            case "/v1/endpoints" -> EndpointWriter.write(registry.announcedEndpoints(), registry.runningTasks());
            default -> fault(HttpFault.NOT_FOUND, "");
        };
    }

    private HttpResponse readiness() {
        String reason = health.notReadyReason();
        return reason.isEmpty() ? text(OK_STATUS, "ready\n") : text(UNAVAILABLE_STATUS, reason + "\n");
    }

    private void handleEndpoint(HttpServerRequest request, ResponseSender sender, String id, boolean usage) {
        if (request.method().equals(HttpMethod.PUT)) {
            receive(
                    request,
                    sender,
                    body -> usage
                            ? registry.usageReported(AnnouncementReader.usage(id, body))
                            : registry.endpointAnnounced(AnnouncementReader.announcement(id, body)));
            return;
        }
        if (request.method().equals(HttpMethod.DELETE) && !usage) {
            receive(request, sender, body -> registry.endpointLeft(id));
            return;
        }
        sender.sendNow(fault(HttpFault.METHOD_NOT_ALLOWED, "PUT and DELETE are allowed, PUT alone for usage"));
    }

    private void receive(HttpServerRequest request, ResponseSender sender, BodyAction action) {
        bodyReader
                .read(request)
                .onSuccess(body -> sender.sendNow(runAction(body, action)))
                .onFailure(failure -> refuse(request, sender, failure));
    }

    private HttpResponse runAction(Buffer body, BodyAction action) {
        try {
            if (action.run(body)) {
                return HttpResponse.of(NO_CONTENT_STATUS, "", Payload.EMPTY);
            }
            return fault(HttpFault.UNAVAILABLE, "the agent is busy or has too many endpoints");
        } catch (ParseException e) {
            counters.increment(HttpCounter.BAD_REQUESTS);
            return fault(HttpFault.BAD_REQUEST, e.getMessage());
        }
    }

    private void refuse(HttpServerRequest request, ResponseSender sender, Throwable failure) {
        counters.increment(HttpCounter.BAD_REQUESTS);
        if (failure instanceof ProblemException refused) {
            sender.sendAndClose(ProblemWriter.write(refused.problem()), request);
        }
    }

    private static HttpResponse fault(HttpFault fault, String detail) {
        return ProblemWriter.write(Problem.of(fault, detail));
    }

    private static HttpResponse text(int status, String text) {
        return HttpResponse.of(status, HttpResponse.TEXT, Payload.of(text));
    }
}
