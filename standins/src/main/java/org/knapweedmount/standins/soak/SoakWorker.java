package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.daemon.store.Exchange;
import org.knapweedmount.standins.support.HostPort;
import org.knapweedmount.standins.support.JsonHttp;
import org.tinylog.Logger;

/**
 * Stand-in of the worker of one VM: takes orders, announces itself to its agent, crashes and comes back.
 *
 * <p>Confined to one event loop.
 */
final class SoakWorker {
    private static final int ANNOUNCEMENT_INTERVAL_MILLIS = 1_500;
    private static final int ANNOUNCEMENT_RETRY_MILLIS = 300;
    private static final int CALL_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_STOP_MILLIS = 50;
    private static final int MIN_LATE_MILLIS = 2_000;
    private static final int MAX_LATE_MILLIS = 12_000;
    private static final double SLOWEST_CLOCK = 0.98;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int OTHER_INSTANCE = 421;

    private final Vertx vertx;
    private final WorkerSite site;
    private final HostPort address;
    private final HostPort agent;
    private final String name;
    private final VmClock clock;
    private final Random random;
    private final HttpClient client;
    private final List<HttpConnection> connections = new ArrayList<>();
    private final List<Hold> holds = new ArrayList<>();
    private Optional<WorkerLife> life = Optional.empty();
    private String lastId = "";
    private int lives;
    private long sequence;
    private long announcementTimer;
    private boolean draining;
    private Optional<Runnable> nextStart = Optional.empty();
    private double slowdown = 1;
    private double lostShare;
    private double lateShare;

    private record Hold(HttpServerRequest request, WorkerLife life) {}

    SoakWorker(
            Vertx vertx, WorkerSite site, HostPort address, HostPort agent, String name, VmClock clock, Random random) {
        this.vertx = vertx;
        this.site = site;
        this.address = address;
        this.agent = agent;
        this.name = name;
        this.clock = clock;
        this.random = random;
        this.client = vertx.createHttpClient();
    }

    /** Takes a new connection of the agent, or closes it if there is no life. */
    void connected(HttpConnection connection) {
        if (life.isEmpty()) {
            connection.close();
            return;
        }
        connections.add(connection);
        connection.exceptionHandler(failure -> Logger.debug(failure, "connection of an agent failed"));
        connection.closeHandler(closed -> connections.remove(connection));
    }

    /** Begins a life under a new ID, or under the last one, and announces it. */
    void begin(boolean sameId) {
        if (life.isPresent()) {
            return;
        }
        lives++;
        if (!sameId || lastId.isEmpty()) {
            lastId = "i-" + name + "-" + lives;
        }
        sequence = 0;
        draining = false;
        life = Optional.of(site.createLife(lastId, clock, SLOWEST_CLOCK + (1 - SLOWEST_CLOCK) * random.nextDouble()));
        announce();
    }

    /** Runs an action once, after the next start that is executed. */
    void onNextStart(Runnable action) {
        nextStart = Optional.of(action);
    }

    /** Returns whether a life has begun and not ended. */
    boolean isAlive() {
        return life.isPresent();
    }

    /** Returns the name of a life that had begun by a time, is ready and has accepted no call since then. */
    Optional<String> closedSince(long millis) {
        return life.filter(current -> !draining && current.isClosedSince(millis))
                .map(WorkerLife::name);
    }

    /** Ends the life without a word. */
    void crash() {
        vertx.cancelTimer(announcementTimer);
        life.ifPresent(ended -> ended.crash(site.nowMillis()));
        life = Optional.empty();
        holds.clear();
        closeConnections();
    }

    /** Closes all connections of the agent. */
    void closeConnections() {
        List.copyOf(connections).forEach(HttpConnection::close);
    }

    /** Announces that this worker drains, gives notice after the given time and ends a moment later. */
    void leave(int drainMillis, int lingerMillis) {
        if (life.isEmpty()) {
            return;
        }
        WorkerLife leaving = life.get();
        draining = true;
        vertx.cancelTimer(announcementTimer);
        announce();
        vertx.setTimer(drainMillis, drained -> {
            if (life.filter(current -> current == leaving).isEmpty()) {
                return;
            }
            call(HttpMethod.DELETE, Buffer.buffer(), status -> {});
            vertx.cancelTimer(announcementTimer);
            vertx.setTimer(lingerMillis, left -> {
                if (life.filter(current -> current == leaving).isPresent()) {
                    crash();
                }
            });
        });
    }

    /** Sets how many times longer runs take that start from now on. */
    void slowDown(double factor) {
        slowdown = factor;
    }

    /** Sets the shares of calls that are executed without an answer, and without an answer 2 to 12 s later. */
    void loseAnswers(double lost, double late) {
        lostShare = lost;
        lateShare = late;
    }

    private void announce() {
        WorkerLife announced = life.orElseThrow();
        sequence++;
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("service", SoakConfig.SERVICE)
                .put("address", address.toString())
                .put("zone", "a")
                .put("version", "v1")
                .put("slots", 8)
                .put("coldLeftMs", 0)
                .put("state", draining ? "draining" : "ready")
                .put("clockMs", announced.clockMillis(site.nowMillis()))
                .put("born", announced.startUnixMillis())
                .put("sequence", sequence);
        body.putObject("capacity")
                .put("cpu", WorkerLife.CAPACITY_MILLI_CORES)
                .put("memMb", 65_536)
                .put("gpu", 0);
        body.putArray("labels").add("a");
        call(HttpMethod.PUT, JsonHttp.encode(body), status -> {
            if (life.filter(current -> current == announced).isPresent()) {
                vertx.cancelTimer(announcementTimer);
                int pauseMillis = status == OK ? ANNOUNCEMENT_INTERVAL_MILLIS : ANNOUNCEMENT_RETRY_MILLIS;
                announcementTimer = vertx.setTimer(pauseMillis, timer -> announce());
            }
        });
    }

    private void call(HttpMethod method, Buffer body, IntConsumer status) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(agent.host())
                .setPort(agent.port())
                .setURI("/api/instances/" + lastId);
        new Exchange(vertx)
                .run(client, options, body, CALL_TIMEOUT_MILLIS)
                .onSuccess(result -> status.accept(result.status()));
    }

    /** Executes a call of the agent. */
    void handle(HttpServerRequest request) {
        String expected = request.getHeader("X-Expect-Instance");
        request.body().onSuccess(body -> {
            double drawn = random.nextDouble();
            if (drawn < lateShare) {
                int millis = random.nextInt(MIN_LATE_MILLIS, MAX_LATE_MILLIS);
                vertx.setTimer(millis, timer -> execute(request, expected, body, false));
            } else {
                execute(request, expected, body, drawn >= lateShare + lostShare);
            }
        });
    }

    private void execute(HttpServerRequest request, String expected, Buffer body, boolean answered) {
        site.advance();
        if (life.isEmpty()) {
            return;
        }
        if (!life.get().id().equals(expected)) {
            respond(request, OTHER_INSTANCE, "", answered);
            return;
        }
        try {
            JsonNode call = JsonHttp.parse(body);
            switch (request.path()) {
                case "/api/run-start" -> start(request, call, answered);
                case "/api/run-stop" -> stop(request, call, answered);
                case "/api/hold" -> hold(request, call, answered);
                default -> JsonHttp.respond(request, 404);
            }
        } catch (ParseException e) {
            JsonHttp.respond(request, 400, e.getMessage());
        }
    }

    private void start(HttpServerRequest request, JsonNode call, boolean answered) {
        WorkerLife.StartResult result = life.orElseThrow()
                .start(
                        call.path("task").asText(),
                        call.path("runId").asInt(),
                        TaskSpec.parse(call.path("spec").asText()),
                        call.path("untilMs").asLong(),
                        call.path("fenceToken").asLong(),
                        slowdown,
                        site.nowMillis());
        boolean started = result == WorkerLife.StartResult.STARTED;
        respond(request, started ? OK : CONFLICT, result.reason(), answered);
        if (started) {
            Optional<Runnable> action = nextStart;
            nextStart = Optional.empty();
            action.ifPresent(Runnable::run);
        }
    }

    private void stop(HttpServerRequest request, JsonNode call, boolean answered) {
        boolean accepted = life.orElseThrow()
                .stop(
                        call.path("task").asText(),
                        call.path("runId").asInt(),
                        call.path("fenceToken").asLong(),
                        random.nextInt(MAX_STOP_MILLIS + 1),
                        site.nowMillis());
        respond(request, accepted ? OK : CONFLICT, accepted ? "" : "fence", answered);
    }

    private void hold(HttpServerRequest request, JsonNode call, boolean answered) {
        WorkerLife held = life.orElseThrow();
        boolean accepted = held.hold(
                call.path("untilMs").asLong(),
                call.path("ackCursor").asLong(),
                call.path("fenceToken").asLong(),
                site.nowMillis());
        if (!accepted || !answered) {
            respond(request, CONFLICT, "fence", answered);
            return;
        }
        Hold waiting = new Hold(request, held);
        int waitMillis = call.path("waitMs").asInt();
        if (waitMillis == 0 || !held.ends().isEmpty()) {
            respond(waiting);
            return;
        }
        holds.add(waiting);
        vertx.setTimer(waitMillis, timer -> {
            if (holds.remove(waiting)) {
                site.advance();
                respond(waiting);
            }
        });
    }

    /** Answers the calls that wait for an end, if there is one. */
    void answerHolds() {
        if (life.isPresent() && !life.get().ends().isEmpty()) {
            List<Hold> waiting = List.copyOf(holds);
            holds.clear();
            waiting.forEach(this::respond);
        }
    }

    private void respond(Hold hold) {
        ObjectNode body = answer(hold.life());
        ArrayNode running = body.putArray("running");
        for (WorkerLife.Run run : hold.life().runs()) {
            running.addArray().add(run.task()).add(run.number()).add("").add(run.percent(site.nowMillis()));
        }
        ArrayNode ended = body.putArray("ended");
        for (WorkerLife.End end : hold.life().ends()) {
            ended.addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.run())
                    .add(end.how().text())
                    .add("");
        }
        JsonHttp.respond(hold.request(), OK, body);
    }

    private void respond(HttpServerRequest request, int status, String reason, boolean answered) {
        if (!answered || life.isEmpty()) {
            return;
        }
        ObjectNode body = answer(life.get());
        if (!reason.isEmpty()) {
            body.put("reason", reason);
        }
        JsonHttp.respond(request, status, body);
    }

    private ObjectNode answer(WorkerLife answering) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("clockMs", answering.clockMillis(site.nowMillis()))
                .put("born", answering.startUnixMillis());
    }

    void advance(long nowMillis) {
        life.ifPresent(current -> current.advance(nowMillis));
    }
}
