package org.knapweedmount.daemon.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.core.entry.SubmissionRequest;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.runtime.Decision;
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.runtime.NanoClock;

/** The HTTP server for callers: parses requests, passes them to the decision thread and sends the answers. */
public final class CallerApi {
    private static final int OK = 200;
    /** Makes Vert.x choose one free port for all event loops; with 0, each event loop would get its own port. */
    private static final int SHARED_FREE_PORT = -1;

    private static final String METRICS_MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final int SHUTDOWN_MILLIS = 2_000;
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private final Vertx vertx;
    private final HttpLimits limits;
    private final DecisionQueue<CallerRequestHandler> decisions;
    private final PendingRequests pending;
    private final KeyLookup keys;
    private final ProcessHealth health;
    private final Counters<HttpCounter> counters;
    private final JobReader jobReader;
    private final BodyReader bodyReader;
    private final ConnectionLimit connections;
    private final Queue<Listener> listeners = new ConcurrentLinkedQueue<>();

    /**
     * Creates the server without starting it.
     *
     * @param vertx the Vert.x instance that runs the event loops
     * @param limits the limits on memory use
     * @param decisions the queue of the decision thread
     * @param pending the pending requests, shared with the receiver of the answers
     * @param keys finds submissions by keys that callers chose
     * @param health provides health, readiness and metrics of the process
     * @param counters the counters to increment
     */
    public CallerApi(
            Vertx vertx,
            HttpLimits limits,
            DecisionQueue<CallerRequestHandler> decisions,
            PendingRequests pending,
            KeyLookup keys,
            ProcessHealth health,
            Counters<HttpCounter> counters) {
        this.vertx = vertx;
        this.limits = limits;
        this.decisions = decisions;
        this.pending = pending;
        this.keys = keys;
        this.health = health;
        this.counters = counters;
        this.jobReader = new JobReader(limits.maxJobTasks());
        this.bodyReader = new BodyReader(vertx, limits);
        this.connections = ConnectionLimit.of(limits, counters);
    }

    /**
     * Starts listening.
     *
     * @param host the IP address
     * @param port the TCP port, 0 for any free port
     * @param instances the number of event loops that serve the port
     * @return a future of the port, completed when it accepts connections
     */
    public Future<Integer> listen(String host, int port, int instances) {
        int sharedPort = port == 0 ? SHARED_FREE_PORT : port;
        DeploymentOptions options = new DeploymentOptions().setInstances(instances);
        return vertx.deployVerticle(() -> new Listener(host, sharedPort), options)
                .map(ignored -> {
                    return listeners.peek().server.actualPort();
                });
    }

    /** The server on one event loop. */
    private final class Listener extends VerticleBase {
        private final String host;
        private final int port;
        private HttpServer server;

        Listener(String host, int port) {
            this.host = host;
            this.port = port;
        }

        @Override
        public Future<?> start() {
            server = vertx.createHttpServer(ServerOptions.of(limits));
            server.connectionHandler(connections);
            server.requestHandler(CallerApi.this::handle);
            listeners.add(this);
            return server.listen(port, host);
        }

        Future<Void> shutdown() {
            Promise<Void> ended = Promise.promise();
            context.runOnContext(ignored -> new GracefulShutdown(vertx, NanoClock.SYSTEM, server, pending::size)
                    .begin(SHUTDOWN_MILLIS)
                    .onComplete(ended));
            return ended.future();
        }
    }

    /**
     * Stops listening, and closes each connection once its requests are answered, which may take up to 2 s.
     *
     * @return completes when each request that was read is answered; fails if some are not in time
     */
    public Future<Void> close() {
        return Future.join(listeners.stream().map(Listener::shutdown).toList()).mapEmpty();
    }

    private void handle(HttpServerRequest request) {
        counters.increment(HttpCounter.REQUESTS);
        ResponseSender response = new ResponseSender(vertx.getOrCreateContext(), request, health.draining());
        try {
            RequestTarget target = RequestTarget.parse(request.method().name(), RequestUri.of(request));
            route(target, request, response);
        } catch (ProblemException e) {
            refuse(request, response, e.problem());
        }
    }

    private void route(RequestTarget target, HttpServerRequest request, ResponseSender response)
            throws ProblemException {
        if (target instanceof RequestTarget.ServiceCall call) {
            CallerHeaders headers = headers(request);
            readBody(
                    request,
                    response,
                    body -> submitServiceCall(call, headers, request.method().name(), body, response));
        } else if (target instanceof RequestTarget.SubmitJob submit) {
            CallerHeaders headers = headers(request);
            readBody(request, response, body -> submitJob(submit, headers, body, response));
        } else if (target instanceof RequestTarget.JobStatus status) {
            withSubmissionId(
                    status.key(),
                    headers(request),
                    response,
                    id -> number -> (handler, now) -> handler.status(number, id, status.awaitEnd(), now));
        } else if (target instanceof RequestTarget.CancelJob cancel) {
            withSubmissionId(
                    cancel.key(),
                    headers(request),
                    response,
                    id -> number -> (handler, now) -> handler.cancel(number, id, now));
        } else if (target instanceof RequestTarget.IssueIds issue) {
            issueIds(issue.count(), response);
        } else {
            response.sendNow(page((RequestTarget.ProcessPage) target));
        }
    }

    private static CallerHeaders headers(HttpServerRequest request) throws ProblemException {
        try {
            return CallerHeaders.read(request::getHeader);
        } catch (ParseException e) {
            throw new ProblemException(Problem.of(Reason.MALFORMED, e.getMessage()));
        }
    }

    /** Handles a complete request body. */
    @FunctionalInterface
    private interface BodyHandler {
        void handle(byte[] body) throws ProblemException;
    }

    private void readBody(HttpServerRequest request, ResponseSender response, BodyHandler handler) {
        bodyReader.read(request).onComplete(read -> {
            if (read.succeeded()) {
                handleBody(request, response, handler, read.result());
            } else if (read.cause() instanceof ProblemException problem) {
                refuse(request, response, problem.problem());
            }
        });
    }

    private void handleBody(HttpServerRequest request, ResponseSender response, BodyHandler handler, Buffer body) {
        try {
            handler.handle(body.getBytes());
        } catch (ProblemException e) {
            refuse(request, response, e.problem());
        }
    }

    private void submitServiceCall(
            RequestTarget.ServiceCall call,
            CallerHeaders headers,
            String method,
            byte[] body,
            ResponseSender response) {
        TaskSpec task = new TaskSpec(
                headers.kind(),
                method,
                call.path(),
                headers.contentType(),
                Payload.of(body),
                headers.declaredMillis(),
                Resources.NONE);
        SubmissionRequest submission = new SubmissionRequest(
                headers.key().flatMap(SubmissionKey::id),
                headers.key().flatMap(SubmissionKey::callerKey),
                headers.firstAttempt(),
                call.service(),
                new JobSpec(headers.team(), headers.atMostOnce(), List.of(task)),
                true);
        boolean firstAttempt = headers.key().isEmpty() || headers.firstAttempt();
        submit(submission, firstAttempt, JobAnswerWriter.SINGLE, response);
    }

    private void submitJob(RequestTarget.SubmitJob target, CallerHeaders headers, byte[] body, ResponseSender response)
            throws ProblemException {
        JobRequest job = readJob(body);
        SubmissionRequest submission = new SubmissionRequest(
                target.key().id(),
                target.key().callerKey(),
                headers.firstAttempt(),
                job.service(),
                job.job(),
                !headers.respondAsync());
        submit(submission, headers.firstAttempt(), JobAnswerWriter.JOB, response);
    }

    private JobRequest readJob(byte[] body) throws ProblemException {
        try {
            return jobReader.read(body);
        } catch (ParseException e) {
            throw new ProblemException(Problem.of(Reason.MALFORMED, e.getMessage()));
        }
    }

    private void submit(
            SubmissionRequest submission, boolean firstAttempt, JobAnswerWriter writer, ResponseSender response) {
        Problem busy = busyProblem().withOutcome(firstAttempt ? Outcome.NOT_RUN : Outcome.UNKNOWN);
        decide(writer, response, busy, number -> (handler, now) -> handler.submit(number, submission, now));
    }

    private void withSubmissionId(
            SubmissionKey key,
            CallerHeaders headers,
            ResponseSender response,
            Function<SubmissionId, LongFunction<Decision<CallerRequestHandler>>> action) {
        if (key.id().isPresent()) {
            decide(
                    JobAnswerWriter.JOB,
                    response,
                    busyProblem(),
                    action.apply(key.id().get()));
            return;
        }
        keys.find(headers.team(), key.callerKey().orElseThrow())
                .onSuccess(result -> response.onEventLoop(() -> {
                    if (result.submission().isPresent()) {
                        decide(
                                JobAnswerWriter.JOB,
                                response,
                                busyProblem(),
                                action.apply(result.submission().get()));
                    } else {
                        response.sendNow(ProblemWriter.write(lookupProblem(result)));
                    }
                }));
    }

    private static Problem lookupProblem(KeyLookupResult result) {
        return result.answered()
                ? Problem.of(Reason.UNKNOWN_SUBMISSION, "no submission of the team has this key")
                : Problem.of(Reason.STORE_UNAVAILABLE, "the key cannot be looked up at present")
                        .retryAfter(RETRY_AFTER_MILLIS);
    }

    private void decide(
            JobAnswerWriter writer,
            ResponseSender response,
            Problem busy,
            LongFunction<Decision<CallerRequestHandler>> decision) {
        OptionalLong number = pending.add(answer -> response.send(writer.write(answer)));
        if (number.isEmpty()) {
            refuseBusy(response, busy);
            return;
        }
        long request = number.getAsLong();
        response.onDisconnect(() -> pending.remove(request));
        if (!decisions.offer(decision.apply(request))) {
            pending.remove(request);
            refuseBusy(response, busy);
        }
    }

    private void issueIds(int count, ResponseSender response) {
        if (health.draining()) {
            response.sendNow(ProblemWriter.write(
                    Problem.of(Reason.DRAINING, "the entry is draining and issues no submission IDs")));
            return;
        }
        boolean offered = decisions.offer((handler, now) -> response.send(idsResponse(handler.issueIds(count))));
        if (!offered) {
            refuseBusy(response, busyProblem());
        }
    }

    private static HttpResponse idsResponse(List<SubmissionId> ids) {
        if (ids.isEmpty()) {
            return ProblemWriter.write(Problem.of(
                    Reason.NO_ENDPOINT, "no submission IDs can be issued before an agent is linked to the entry"));
        }
        return HttpResponse.of(OK, HttpResponse.JSON, JsonOutput.object(json -> {
            json.writeArrayFieldStart("ids");
            for (SubmissionId id : ids) {
                json.writeString(id.toString());
            }
            json.writeEndArray();
        }));
    }

    private static Problem busyProblem() {
        return Problem.of(Reason.OVERLOADED, "the entry is overloaded: too many requests are waiting")
                .retryAfter(RETRY_AFTER_MILLIS);
    }

    private void refuseBusy(ResponseSender response, Problem problem) {
        counters.increment(HttpCounter.REFUSED_BUSY);
        response.send(ProblemWriter.write(problem));
    }

    private void refuse(HttpServerRequest request, ResponseSender response, Problem problem) {
        counters.increment(HttpCounter.BAD_REQUESTS);
        response.sendAndClose(ProblemWriter.write(withOutcome(request, problem)), request);
    }

    private static Problem withOutcome(HttpServerRequest request, Problem problem) {
        UnaryOperator<String> header = request::getHeader;
        boolean job = request.uri().startsWith("/v1/jobs/");
        boolean submits =
                job ? request.method().name().equals("PUT") : request.uri().startsWith("/v1/services/");
        Optional<Outcome> outcome =
                submits ? Optional.of(CallerHeaders.outcomeOfRefusal(header, job)) : Optional.empty();
        return outcome.map(problem::withOutcome).orElse(problem);
    }

    private HttpResponse page(RequestTarget.ProcessPage page) {
        return switch (page) {
            case HEALTH -> HttpResponse.of(OK, HttpResponse.TEXT, Payload.of("ok\n"));
            case READINESS -> readiness(health.notReadyReason());
            case METRICS -> HttpResponse.of(OK, METRICS_MEDIA_TYPE, Payload.of(health.metrics()));
        };
    }

    private static HttpResponse readiness(String notReadyReason) {
        if (notReadyReason.isEmpty()) {
            return HttpResponse.of(OK, HttpResponse.TEXT, Payload.of("ready\n"));
        }
        return ProblemWriter.write(Problem.of(HttpFault.UNAVAILABLE, notReadyReason));
    }
}
