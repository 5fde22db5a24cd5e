import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of an executor: runs tasks under a lease, lists them, and announces itself to the agent beside it. */
final class Worker {
    private static final int MAX_LEASE_MILLIS = 1_000;
    private final Stage stage;
    private final InetSocketAddress address;
    private final InetSocketAddress control;
    private final HttpServer server;
    private final Map<String, Run> running = new HashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<End> ended = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private final List<Interval> intervals = new ArrayList<>();
    private int lateMillis;
    private boolean lateStartTaken;
    private final String id;
    private long clockStartNanos = System.nanoTime() - 1_000_000L * 480_000;
    private int cpu;
    private long born = System.currentTimeMillis();
    private long pingsCutUntilNanos = System.nanoTime();
    private int mostUsed;
    private String state = "ready";
    private long fence;
    private long untilMillis;
    private long endNumber;
    private long sequence;

    /** A task that was begun, at a time of this process in ns. */
    record Start(String task, int run, long nanos) {}

    /** The time for which a run was at work, by the clock of this process in ns. */
    record Interval(String worker, String task, int run, long startNanos, long endNanos) {}

    private record Run(int number, long startMillis, int lastsMillis, int cpu, long startNanos) {}

    private record End(long number, String task, int run, String how) {}

    Worker(Stage stage, int agent, int cpu, InetSocketAddress address, InetSocketAddress control)
            throws IOException {
        this.stage = stage;
        this.address = address;
        this.control = control;
        this.cpu = cpu;
        this.id = "i-7f3a91c" + agent;
        server = HttpServer.create(address, 100);
        server.setExecutor(Executors.newCachedThreadPool(Stage.daemonThreads("worker")));
        server.createContext("/", this::handle);
        server.start();
        Thread ticks = Stage.daemonThreads("worker-clock").newThread(this::tick);
        ticks.start();
        Thread beats = Stage.daemonThreads("worker-beat").newThread(this::beat);
        beats.start();
    }

    String id() {
        return id;
    }

    synchronized long born() {
        return born;
    }

    synchronized long sequence() {
        return sequence;
    }

    /** Lets no ping arrive for a time. */
    synchronized void cutPings(int millis) {
        pingsCutUntilNanos = System.nanoTime() + 1_000_000L * millis;
    }

    /** Ends everything and starts again under the same ID, as an executor with another capacity. */
    void restart(int newCpu) {
        synchronized (this) {
            running.forEach((task, run) -> {
                stage.note("%s: %s run %d ended lost", id, task, run.number());
                intervals.add(new Interval(id, task, run.number(), run.startNanos(), System.nanoTime()));
            });
            running.clear();
            highestEnded.clear();
            ended.clear();
            endNumber = 0;
            fence = 0;
            untilMillis = 0;
            sequence = 0;
            clockStartNanos = System.nanoTime() - 1_000_000L * 1_000;
            born = System.currentTimeMillis();
            cpu = newCpu;
            mostUsed = 0;
            stage.note("%s has started again, with %d thousandths of a core", id, cpu);
        }
        announce();
    }

    /** Leaves the next order to start a run unanswered and carries it out after a time. */
    synchronized void carryOutNextStartLate(int millis) {
        lateMillis = millis;
        lateStartTaken = false;
    }

    /** Takes all orders as they come again; returns whether one was left unanswered. */
    synchronized boolean carryOutAtOnce() {
        lateMillis = 0;
        return lateStartTaken;
    }

    synchronized boolean lateStartTaken() {
        return lateStartTaken;
    }

    /** Returns the runs that have ended. */
    synchronized List<Interval> intervals() {
        return List.copyOf(intervals);
    }

    /** Returns the most thousandths of a core that runs have used at a time in this life. */
    synchronized int mostUsed() {
        return mostUsed;
    }

    private synchronized long clockMillis() {
        return (System.nanoTime() - clockStartNanos) / 1_000_000;
    }

    synchronized List<Start> starts() {
        return List.copyOf(starts);
    }

    private void beat() {
        while (true) {
            boolean acknowledged = announce() == 200;
            try {
                Thread.sleep(acknowledged ? Stage.BEAT_MILLIS : 300);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Reports that this executor will leave; returns the status of the answer. */
    int drain() {
        synchronized (this) {
            state = "draining";
        }
        return announce();
    }

    private int announce() {
        ObjectNode body = Stage.JSON.createObjectNode();
        boolean cut;
        synchronized (this) {
            cut = System.nanoTime() - pingsCutUntilNanos < 0;
            sequence++;
            body.put("service", Stage.SERVICE).put("address", Stage.text(address)).put("zone", "norte-a");
            body.put("version", "v1").put("slots", 8).put("state", state).put(Names.of("field.warmUp"), 0);
            body.putObject("capacity").put("cpu", cpu).put("memMb", 32_768).put("gpu", 0);
            body.putArray("labels").add("a").add("r1-1");
            body.put("clockMs", clockMillis()).put("sequence", sequence).put("born", born);
        }
        if (cut) {
            return 0;
        }
        return Stage.call(control, "PUT", "/api/instances/" + id, body.toString(), 1_000).status();
    }

    private void tick() {
        while (true) {
            synchronized (this) {
                long now = clockMillis();
                for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
                    Run run = entry.getValue();
                    if (now > untilMillis) {
                        end(entry.getKey(), run.number(), "lapsed");
                    } else if (now - run.startMillis() >= run.lastsMillis()) {
                        end(entry.getKey(), run.number(), "done");
                    }
                }
            }
            try {
                Thread.sleep(2);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void end(String task, int run, String how) {
        Run ended = running.remove(task);
        intervals.add(new Interval(id, task, run, ended.startNanos(), System.nanoTime()));
        highestEnded.merge(task, run, Math::max);
        endNumber++;
        this.ended.add(new End(endNumber, task, run, how));
        stage.note("%s: %s run %d ended %s", id, task, run, how);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode call = Stage.JSON.readTree(exchange.getRequestBody().readAllBytes());
        if (!id.equals(exchange.getRequestHeaders().getFirst("X-Expect-Instance"))) {
            Stage.respond(exchange, 421, answer());
            return;
        }
        String path = exchange.getRequestURI().getPath();
        if (path.equals(Names.of("worker.start"))) {
            start(exchange, call);
        } else if (path.equals(Names.of("worker.stop"))) {
            stop(exchange, call);
        } else if (path.equals(Names.of("worker.list"))) {
            hold(exchange, call);
        } else {
            Stage.respond(exchange, 404, answer());
        }
    }

    private ObjectNode answer() {
        return Stage.JSON.createObjectNode().put("clockMs", clockMillis()).put("born", born);
    }

    private void extend(long until) {
        untilMillis = Math.max(untilMillis, Math.min(until, clockMillis() + MAX_LEASE_MILLIS));
    }

    private boolean isFenced(JsonNode call) {
        long token = call.path(Names.of("field.token")).asLong();
        if (token < fence) {
            return true;
        }
        fence = token;
        return false;
    }

    private void start(HttpExchange exchange, JsonNode call) throws IOException {
        int delayMillis = takeLate(call);
        if (delayMillis > 0) {
            Stage.daemonThreads("late").newThread(() -> {
                try {
                    Thread.sleep(delayMillis);
                    String reason = start(call);
                    stage.note("%s has carried out the late order: %s", id, reason.isEmpty() ? "started" : reason);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }).start();
            return;
        }
        String reason = start(call);
        if (reason.isEmpty()) {
            Stage.respond(exchange, 200, answer());
        } else {
            Stage.respond(exchange, 409, answer().put("reason", reason));
        }
    }

    private synchronized int takeLate(JsonNode call) {
        if (lateMillis == 0 || lateStartTaken) {
            return 0;
        }
        lateStartTaken = true;
        stage.note("%s leaves the order to start %s run %d unanswered", id, call.path("task").asText(),
                call.path("runId").asInt());
        return lateMillis;
    }

    /** Carries out an order to start a run; returns why it is refused, or nothing. */
    private String start(JsonNode call) {
        String task = call.path("task").asText();
        int number = call.path("runId").asInt();
        String reason = "";
        synchronized (this) {
            Run present = running.get(task);
            if (isFenced(call)) {
                reason = "fence";
            } else if (call.path("untilMs").asLong() <= clockMillis()) {
                reason = "late";
            } else if (present == null || present.number() != number) {
                extend(call.path("untilMs").asLong());
                if (number <= highestEnded.getOrDefault(task, 0) || present != null) {
                    reason = "old";
                } else {
                    String[] spec = call.path("spec").asText().split(" ");
                    running.put(
                            task,
                            new Run(number, clockMillis(), Integer.parseInt(spec[0]), Integer.parseInt(spec[1]),
                                    System.nanoTime()));
                    int used = running.values().stream().mapToInt(Run::cpu).sum();
                    mostUsed = Math.max(mostUsed, used);
                    starts.add(new Start(task, number, System.nanoTime()));
                    stage.note("%s (%s): %s run %d started, %d in use", id, state, task, number, used);
                }
            }
        }
        return reason;
    }

    private void stop(HttpExchange exchange, JsonNode call) throws IOException {
        boolean fenced;
        synchronized (this) {
            fenced = isFenced(call);
            if (!fenced) {
                String task = call.path("task").asText();
                int number = call.path("runId").asInt();
                Run run = running.get(task);
                if (run != null && run.number() == number) {
                    end(task, number, "stopped");
                }
                highestEnded.merge(task, number, Math::max);
            }
        }
        Stage.respond(exchange, fenced ? 409 : 200, fenced ? answer().put("reason", "fence") : answer());
    }

    private void hold(HttpExchange exchange, JsonNode call) throws IOException {
        ObjectNode answer;
        boolean fenced;
        synchronized (this) {
            fenced = isFenced(call);
            if (!fenced) {
                if (call.has("untilMs")) {
                    extend(call.path("untilMs").asLong());
                }
                long acknowledged = call.path(Names.of("field.acknowledged")).asLong();
                ended.removeIf(end -> end.number() <= acknowledged);
                long endNanos = System.nanoTime() + 1_000_000L * call.path("waitMs").asLong();
                while (ended.isEmpty() && System.nanoTime() - endNanos < 0) {
                    try {
                        wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
                    } catch (InterruptedException e) {
                        exchange.close();
                        return;
                    }
                }
            }
            answer = answer();
            ArrayNode present = answer.putArray("running");
            running.forEach((task, run) -> present.addArray()
                    .add(task)
                    .add(run.number())
                    .add("")
                    .add((int) Math.min(99, 100 * (clockMillis() - run.startMillis()) / run.lastsMillis()))
                    .add(100));
            ArrayNode ends = answer.putArray("ended");
            ended.forEach(end ->
                    ends.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add(""));
        }
        if (fenced) {
            Stage.respond(exchange, 409, answer().put("reason", "fence"));
        } else {
            Stage.respond(exchange, 200, answer);
        }
    }
}
