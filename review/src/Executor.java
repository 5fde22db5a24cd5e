import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for an executor: runs tasks for the time that their spec names ({@code ms=N}), under a lease and a fencing
 * token, and lists what runs and what has ended.
 */
final class Executor {
    static final int CAPACITY_CPU = 16_000;
    private static final int HOLD_MAX_MILLIS = 1_000;
    private static final int STOP_MILLIS = 20; // the pages allow 50

    private final String name;
    private final String host;
    private final int appPort;
    private final int controlPort;
    private final String service;
    private final Record record;
    private final String id;
    private final long startNanos = System.nanoTime();
    private final long born = System.currentTimeMillis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final List<Object> ends = new ArrayList<>();
    private long endNumber;
    private long fence;
    private long leaseUntil;
    private long sequence;

    private static final class Run {
        String task;
        int number;
        String spec;
        long startMillis;
        long doneMillis;
        long stopAtMillis = Long.MAX_VALUE;
    }

    Executor(String name, String host, int appPort, int controlPort, String service, Record record) {
        this.name = name;
        this.host = host;
        this.appPort = appPort;
        this.controlPort = controlPort;
        this.service = service;
        this.record = record;
        this.id = "i-" + name;
    }

    void start() throws IOException {
        Http.serve(host, appPort, (method, path, query, exchange, body) -> {
            if (!id.equals(exchange.getRequestHeaders().getFirst("X-Expect-Instance"))) {
                return new Http.Answer(421, Json.write(answer()));
            }
            Map<String, Object> call = Json.object(body);
            if (path.equals(Names.START_CALL)) {
                return startRun(call);
            }
            if (path.equals(Names.STOP_CALL)) {
                return stopRun(call);
            }
            return path.equals(Names.LIST_CALL) ? hold(call) : new Http.Answer(404, "");
        });
        thread(() -> {
            while (true) {
                advance();
                Thread.sleep(3);
            }
        });
        thread(() -> {
            while (true) {
                int status = ping();
                Thread.sleep(status == 200 ? 1_500 : 300);
            }
        });
    }

    private interface Loop {
        void run() throws Exception;
    }

    private static void thread(Loop loop) {
        Thread thread = new Thread(() -> {
            try {
                loop.run();
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private int ping() {
        sequence++;
        String body = Json.write(Json.map(
                "service", service, "address", host + ":" + appPort, "zone", "a", "version", "v1", "slots", 8,
                "state", "ready", "clockMs", clock(), "sequence", sequence, "born", born,
                "capacity", Json.map("cpu", CAPACITY_CPU, "memMb", 32_768, "gpu", 0),
                "labels", List.of("a", "r1")));
        return Http.call(
                        host, controlPort, "PUT", "/api/instances/" + id, "Host: " + host + "\r\n", body, 1_000)
                .status();
    }

    private long clock() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private Map<String, Object> answer() {
        return Json.map("clockMs", clock(), "born", born);
    }

    private Http.Answer refused(String reason) {
        Map<String, Object> body = answer();
        body.put("reason", reason);
        return new Http.Answer(409, Json.write(body));
    }

    private boolean fenced(Map<String, Object> call) {
        long token = Json.number(call, Names.FENCE_FIELD);
        if (token < fence) {
            return true;
        }
        fence = token;
        return false;
    }

    private void extend(Map<String, Object> call) {
        leaseUntil = Math.max(leaseUntil, Math.min(Json.number(call, "untilMs"), clock() + HOLD_MAX_MILLIS));
    }

    private synchronized Http.Answer startRun(Map<String, Object> call) {
        advance();
        String task = Json.text(call, "task");
        int number = (int) Json.number(call, "runId");
        if (fenced(call)) {
            return refused("fence");
        }
        if (Json.number(call, "untilMs") <= clock()) {
            return refused("late");
        }
        extend(call);
        if (running.containsKey(task + "#" + number)) {
            return new Http.Answer(200, Json.write(answer()));
        }
        if (barred.getOrDefault(task, 0) >= number) {
            return refused("old");
        }
        Run run = new Run();
        run.task = task;
        run.number = number;
        run.spec = Json.text(call, "spec");
        run.startMillis = clock();
        run.doneMillis = run.startMillis + Long.parseLong(run.spec.replaceAll(".*ms=([0-9]+).*", "$1"));
        running.put(task + "#" + number, run);
        record.started(name, task, number, run.spec);
        return new Http.Answer(200, Json.write(answer()));
    }

    private synchronized Http.Answer stopRun(Map<String, Object> call) {
        advance();
        if (fenced(call)) {
            return refused("fence");
        }
        String task = Json.text(call, "task");
        int number = (int) Json.number(call, "runId");
        barred.merge(task, number, Math::max);
        Run run = running.get(task + "#" + number);
        if (run != null) {
            run.stopAtMillis = Math.min(run.stopAtMillis, clock() + STOP_MILLIS);
        }
        return new Http.Answer(200, Json.write(answer()));
    }

    private synchronized Http.Answer hold(Map<String, Object> call) throws InterruptedException {
        advance();
        if (fenced(call)) {
            return refused("fence");
        }
        extend(call);
        long cursor = Json.number(call, Names.ACKNOWLEDGED_FIELD);
        ends.removeIf(end -> (Long) ((List<?>) end).get(0) <= cursor);
        long until = clock() + Json.number(call, "waitMs");
        while (ends.isEmpty() && clock() < until) {
            wait(Math.max(1, until - clock()));
        }
        advance();
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(99, 100 * (clock() - run.startMillis) / Math.max(1, run.doneMillis - run.startMillis));
            rows.add(List.of(run.task, run.number, "", percent, 0));
        }
        Map<String, Object> body = answer();
        body.put("running", rows);
        body.put("ended", new ArrayList<>(ends.subList(0, Math.min(500, ends.size()))));
        return new Http.Answer(200, Json.write(body));
    }

    private synchronized void advance() {
        long now = clock();
        boolean changed = false;
        for (Iterator<Run> runs = running.values().iterator(); runs.hasNext(); ) {
            Run run = runs.next();
            String how = run.stopAtMillis <= now ? "stopped" : run.doneMillis <= now ? "done" : leaseUntil <= now ? "lapsed" : "";
            if (!how.isEmpty()) {
                runs.remove();
                barred.merge(run.task, run.number, Math::max);
                ends.add(List.of(++endNumber, run.task, run.number, how, ""));
                record.ended(name, run.task, run.number, how);
                changed = true;
            }
        }
        if (changed) {
            notifyAll();
        }
    }
}
