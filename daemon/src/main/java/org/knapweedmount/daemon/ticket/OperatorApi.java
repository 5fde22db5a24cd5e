package org.knapweedmount.daemon.ticket;

import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.config.TicketReader;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.http.BodyReader;
import org.knapweedmount.daemon.http.ConnectionLimit;
import org.knapweedmount.daemon.http.HttpCounter;
import org.knapweedmount.daemon.http.HttpFault;
import org.knapweedmount.daemon.http.HttpLimits;
import org.knapweedmount.daemon.http.HttpResponse;
import org.knapweedmount.daemon.http.JsonOutput;
import org.knapweedmount.daemon.http.Problem;
import org.knapweedmount.daemon.http.ProblemException;
import org.knapweedmount.daemon.http.ProblemWriter;
import org.knapweedmount.daemon.http.RequestUri;
import org.knapweedmount.daemon.http.ResponseSender;
import org.knapweedmount.daemon.http.ServerOptions;
import org.knapweedmount.daemon.store.ListResult;
import org.knapweedmount.daemon.store.ReadResult;

/** The HTTP server for operators, on a separate port; each request must present a token. */
public final class OperatorApi {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int MAX_BODY_BYTES = 1_048_576;
    private static final int MAX_CONNECTIONS = 50;

    private final Vertx vertx;
    private final OperatorTokens tokens;
    private final TicketService tickets;
    private final AuditLog audit;
    private final EntryControl control;
    private final BodyReader bodyReader;
    private final HttpServer server;

    /**
     * Creates the server without starting it.
     *
     * @param vertx the Vert.x instance that runs the event loop
     * @param tokens the valid tokens
     * @param tickets accepts and reads tickets
     * @param audit the entry's own audit log
     * @param control provides the status of the entry and drains it
     */
    public OperatorApi(
            Vertx vertx, OperatorTokens tokens, TicketService tickets, AuditLog audit, EntryControl control) {
        this.vertx = vertx;
        this.tokens = tokens;
        this.tickets = tickets;
        this.audit = audit;
        this.control = control;
        HttpLimits limits = HttpLimits.of(MAX_BODY_BYTES, MAX_CONNECTIONS, MAX_CONNECTIONS, 0);
        this.bodyReader = new BodyReader(vertx, limits);
        this.server = vertx.createHttpServer(ServerOptions.of(limits));
        server.connectionHandler(ConnectionLimit.of(limits, new Counters<>(HttpCounter.class)));
        server.requestHandler(this::handle);
    }

    /**
     * Starts listening.
     *
     * @param host the IP address
     * @param port the TCP port, 0 for any free port
     * @return a future of the port, completed when it accepts connections
     */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /**
     * Stops listening and closes the connections.
     *
     * @return a future that completes when all connections are closed
     */
    public Future<Void> close() {
        return server.close();
    }

    private void handle(HttpServerRequest request) {
        ResponseSender response = new ResponseSender(vertx.getOrCreateContext(), request, false);
        Optional<String> token = tokens.find(request.getHeader("Authorization"));
        if (token.isEmpty()) {
            audit.add(AuditAction.UNAUTHORIZED, 0, "", request.remoteAddress().toString());
            Problem problem = Problem.of(
                    HttpFault.UNAUTHORIZED, "expected the header Authorization: Bearer TOKEN with a valid token");
            response.sendAndClose(ProblemWriter.write(problem).withHeader("WWW-Authenticate", "Bearer"), request);
            return;
        }
        try {
            OperatorTarget target = OperatorTarget.parse(request.method().name(), RequestUri.of(request));
            respond(target, token.get(), request).onSuccess(response::send);
        } catch (ProblemException e) {
            response.sendAndClose(ProblemWriter.write(e.problem()), request);
        }
    }

    private Future<HttpResponse> respond(OperatorTarget target, String token, HttpServerRequest request) {
        if (target instanceof OperatorTarget.PutTicket put) {
            return bodyReader
                    .read(request)
                    .compose(body -> acceptTicket(put.number(), token, body))
                    .recover(OperatorApi::problemResponse);
        }
        if (target instanceof OperatorTarget.ShowTicket show) {
            return tickets.ticket(show.number()).map(result -> ticket(show.number(), result));
        }
        if (target instanceof OperatorTarget.ListTickets list) {
            return tickets.tickets(list.limit()).map(OperatorApi::ticketList);
        }
        if (target instanceof OperatorTarget.ShowAudit show) {
            return tickets.auditTrail(show.limit()).map(trail -> AuditWriter.write(trail, audit.latest(show.limit())));
        }
        if (target instanceof OperatorTarget.Drain) {
            return Future.succeededFuture(drain(token));
        }
        return control.status();
    }

    private Future<HttpResponse> acceptTicket(long number, String token, Buffer body) {
        try {
            Ticket ticket = TicketReader.readBody(number, body.getBytes());
            return tickets.accept(ticket, token).map(answer -> TicketAnswerWriter.write(number, answer));
        } catch (ParseException e) {
            audit.add(AuditAction.REFUSED, number, "/" + token, e.getMessage());
            return Future.failedFuture(new ProblemException(Problem.of(Reason.MALFORMED, e.getMessage())));
        }
    }

    private static Future<HttpResponse> problemResponse(Throwable cause) {
        boolean known = cause instanceof ProblemException;
        Problem problem = known
                ? ((ProblemException) cause).problem()
                : Problem.of(HttpFault.BAD_REQUEST, "the request body was not received completely");
        return Future.succeededFuture(ProblemWriter.write(problem));
    }

    private static HttpResponse ticket(long number, ReadResult result) {
        if (!result.answered()) {
            return unavailable();
        }
        return result.row()
                .map(row -> HttpResponse.of(
                        OK, HttpResponse.JSON, Payload.of(row.value().toString())))
                .orElseGet(() -> ProblemWriter.write(
                        Problem.of(HttpFault.NOT_FOUND, "no accepted ticket has number " + number)));
    }

    private static HttpResponse ticketList(ListResult list) {
        if (!list.answered()) {
            return unavailable();
        }
        return HttpResponse.of(
                OK, HttpResponse.JSON, JsonOutput.object(json -> AuditWriter.writeRows(json, "tickets", list)));
    }

    private static HttpResponse unavailable() {
        return ProblemWriter.write(Problem.of(Reason.STORE_UNAVAILABLE, "the table service cannot be read"));
    }

    private HttpResponse drain(String token) {
        audit.add(AuditAction.DRAIN, 0, "/" + token, "");
        control.drain();
        return HttpResponse.of(
                ACCEPTED, HttpResponse.JSON, JsonOutput.object(json -> json.writeBooleanField("draining", true)));
    }
}
