import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A ping of another writer lacks the time until the executor is warm, and names an executor with more room than it has. */
final class CaseForeignPing {
    private static final int FOREIGN_CPU = 4 * Worker.CPU;
    private static final int TASKS = 24;
    private static final int TASK_CPU = 1_600;
    private static final int TASK_MILLIS = 800;

    private CaseForeignPing() {}

    public static void main(String[] arguments) {
        Harness.run(arguments, 3, 4, false, CaseForeignPing::run);
    }

    private static String run(Lab lab) throws Exception {
        lab.writeConfig(3, "/dues/");
        lab.startAll();
        Lab.sleep(3_000);
        Worker worker = lab.workers.get(0);
        AtomicInteger mostCpu = new AtomicInteger();
        worker.listener = new Worker.Listener() {
            @Override
            public void started(Worker at, Worker.Run run, long millis) {
                mostCpu.accumulateAndGet(at.usedCpu(), Math::max);
            }
        };
        if (Lab.trouble()) {
            send(lab, worker, "zone");
            send(lab, worker, Names.WARM_UP);
        }
        Lab.sleep(1_000);
        String id = Harness.id();
        lab.expect(id, TASK_CPU);
        var step = Json.object(
                "count", TASKS, "cpu", TASK_CPU, "memMb", 64, "estimateMs", TASK_MILLIS, "requires", "r1-1");
        String body = Json.write(Json.object("spec", "" + TASK_MILLIS, Names.NOT_STORED, true, "steps", List.of(step)));
        lab.submit(1, "/dues/" + id, body, 15_000, "");
        lab.log("most cpu in use on " + worker.id + ": " + mostCpu + " of " + Worker.CPU);
        lab.requireStarted(id);
        return mostCpu.get() > Worker.CPU
                ? "LIMIT: tasks of " + mostCpu + " cpu run on an executor that has " + Worker.CPU
                : "";
    }

    private static void send(Lab lab, Worker worker, String missing) {
        Map<String, Object> ping = worker.pingBody("ready", 1_000);
        ping.put("capacity", Json.object("cpu", FOREIGN_CPU, "memMb", 131_072, "gpu", 0));
        ping.remove(missing);
        Http.Answer answer = Http.call(
                worker.host,
                Lab.CONTROL_PORT,
                "PUT",
                "/api/instances/" + worker.id,
                Map.of("Content-Type", "application/json"),
                Json.write(ping),
                1_000);
        lab.log("ping of another writer without " + missing + ": " + Json.write(ping) + " answered " + answer);
    }
}
