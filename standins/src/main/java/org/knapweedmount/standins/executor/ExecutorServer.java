package org.knapweedmount.standins.executor;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.standins.support.JsonHttp;
import org.tinylog.Logger;

/**
 * HTTP server that simulates one endpoint of a service, or one worker.
 *
 * <p>{@code GET /stats} returns its counts, {@code PUT /control} changes its fault-injection settings, {@code DELETE
 * /tasks/ID} stops a task, and every other request is a task. All handlers run on the verticle's event loop.
 */
public final class ExecutorServer extends VerticleBase {
    /** The header in which the agent sends the task ID. */
    public static final String TASK_HEADER = "Knapweedmount-Task";

    private static final String TASKS_PATH = "/tasks/";
    private static final int IDLE_CHECK_PERIOD_MILLIS = 20;
    private static final int REQUIRED_IDLE_CHECKS = 10;

    private final EndpointSpec spec;
    private final ProcessContext process;
    private ExecutorControl control;
    private TaskRunner taskRunner;
    private Announcer announcer;
    private UsageReporter usageReporter;
    private HttpServer server;
    private int connections;
    private int peakConnections;
    private long unnamedTasks;

    private record Stats(
            String id,
            int slots,
            String mode,
            boolean announced,
            int connections,
            int peakConnections,
            @JsonUnwrapped EndpointCounts.Snapshot tasks) {}

    /**
     * Creates an endpoint that listens once the verticle is deployed.
     *
     * @param spec the configuration of the endpoint
     * @param process the state shared by the endpoints of the process
     */
    public ExecutorServer(EndpointSpec spec, ProcessContext process) {
        this.spec = spec;
        this.process = process;
        this.control = spec.control();
    }

    @Override
    public Future<?> start() {
        taskRunner = new TaskRunner(spec, process, context);
        AgentClient agent = new AgentClient(vertx, spec.agent(), spec.id());
        usageReporter = new UsageReporter(vertx, agent, spec.usageLagMillis());
        server = vertx.createHttpServer()
                .connectionHandler(this::handleConnection)
                .requestHandler(this::handleRequest);
        return server.listen(spec.port(), spec.announcement().host()).onSuccess(listening -> {
            announcer =
                    new Announcer(vertx, agent, spec.id(), spec.announcement().withPort(listening.actualPort()));
            announcer.start();
            Logger.info("{} ready on port {}", spec.id(), listening.actualPort());
        });
    }

    /**
     * Returns the port on which the endpoint listens.
     *
     * @return a TCP port, known once the verticle has been deployed
     */
    public int port() {
        return server.actualPort();
    }

    /**
     * Withdraws the announcement and waits for the running tasks to end; may be called from any thread.
     *
     * @return a future that succeeds once no task has been running for 10 consecutive checks, 20 ms apart
     */
    public Future<Void> drain() {
        Promise<Void> idle = Promise.promise();
        context.runOnContext(ignored -> announcer.withdraw().onComplete(left -> awaitIdle(idle, REQUIRED_IDLE_CHECKS)));
        return idle.future();
    }

    private void awaitIdle(Promise<Void> idle, int checksLeft) {
        if (checksLeft == 0) {
            idle.complete();
            return;
        }
        boolean running = taskRunner.counts().running() > 0;
        vertx.setTimer(
                IDLE_CHECK_PERIOD_MILLIS, timer -> awaitIdle(idle, running ? REQUIRED_IDLE_CHECKS : checksLeft - 1));
    }

    private void handleConnection(HttpConnection connection) {
        connections++;
        peakConnections = Math.max(peakConnections, connections);
        connection.closeHandler(closed -> connections--);
    }

    private void handleRequest(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            try {
                dispatch(request, body);
            } catch (ParseException e) {
                JsonHttp.respond(request, 400, e.getMessage());
            }
        });
    }

    private void dispatch(HttpServerRequest request, Buffer body) throws ParseException {
        String path = JsonHttp.decodedPath(request);
        if (path.equals("/stats")) {
            JsonHttp.respond(request, 200, stats());
            return;
        }
        if (path.equals("/control")) {
            control = ExecutorControl.parse(JsonHttp.parse(body));
            Logger.info("{}: mode {}, run factor {}", spec.id(), control.mode().text(), control.runFactor());
            JsonHttp.respond(request, 200, stats());
            return;
        }
        if (request.method().equals(HttpMethod.DELETE) && path.startsWith(TASKS_PATH)) {
            boolean stopped = taskRunner.stop(path.substring(TASKS_PATH.length()));
            JsonHttp.respond(request, stopped ? 204 : 404);
            return;
        }
        runTask(request, body);
    }

    private void runTask(HttpServerRequest request, Buffer body) throws ParseException {
        TaskParameters parameters =
                TaskParameters.parse(request.getParam("run"), request.getParam("kind"), request.getParam("use"));
        if (!control.mode().startsTasks()) {
            return;
        }
        taskRunner.start(new RunningTask(taskId(request), parameters, request, body), control);
        usageReporter.recordStart(parameters);
    }

    private String taskId(HttpServerRequest request) {
        String taskId = request.getHeader(TASK_HEADER);
        return taskId == null ? spec.id() + "-unnamed-" + ++unnamedTasks : taskId;
    }

    private Stats stats() {
        return new Stats(
                spec.id(),
                spec.announcement().slots(),
                control.mode().text(),
                announcer.announced(),
                connections,
                peakConnections,
                taskRunner.counts());
    }
}
