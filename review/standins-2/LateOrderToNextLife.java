import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Checks that a task does not run twice at a time if its first order is carried out late, after the executor has started
 * again under its ID while its pings do not arrive.
 */
final class LateOrderToNextLife {
    private static final int ENTRIES = 2;
    private static final int AGENTS = 5;
    private static final int CPU = 16_000;
    private static final int SETTLE_MILLIS = 4_000;
    private static final int TASK_MILLIS = 3_500;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final int LATE_MILLIS = 2_400;
    private static final int CRASH_AFTER_MILLIS = 1_000;
    private static final int CUT_MILLIS = 2_500;

    private LateOrderToNextLife() {}

    public static void main(String[] arguments) {
        Stage.exit(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path recordFile) throws Exception {
        try (Stage stage = new Stage(recordFile)) {
            Store store = new Store(stage.storeAddress());
            store.writeConfig(stage.config(3, "/lohu930/"));
            List<Worker> workers = new ArrayList<>();
            for (int agent = 1; agent <= AGENTS; agent++) {
                workers.add(new Worker(stage, agent, CPU, stage.worker(agent), stage.control(30 + agent)));
                stage.startAgent(agent, ENTRIES, stage.storeAddress());
            }
            for (int entry = 1; entry <= ENTRIES; entry++) {
                stage.startEntry(entry, ENTRIES, stage.storeAddress());
            }
            if (!Stage.await(() -> stage.submit(1, 2, 1_600, 100, 1_500).status() == 200, 20_000)) {
                stage.note("no job was completed");
                return Stage.NOT_RUN;
            }
            Thread.sleep(SETTLE_MILLIS);
            if (Stage.trouble()) {
                workers.forEach(worker -> worker.carryOutNextStartLate(LATE_MILLIS));
            }
            Thread caller = new Thread(() -> stage.submit(1, 1, 1_600, TASK_MILLIS, DEADLINE_MILLIS));
            caller.start();
            if (Stage.trouble()) {
                if (!Stage.await(() -> workers.stream().anyMatch(Worker::lateStartTaken), 2_000)) {
                    return Stage.NOT_RUN;
                }
                Optional<Worker> late = Optional.empty();
                for (Worker worker : workers) {
                    if (worker.carryOutAtOnce()) {
                        late = Optional.of(worker);
                    }
                }
                Thread.sleep(CRASH_AFTER_MILLIS);
                late.orElseThrow().cutPings(CUT_MILLIS);
                late.orElseThrow().restart(CPU);
            }
            caller.join(TimeUnit.SECONDS.toMillis(10));
            Thread.sleep(1_500);
            List<Worker.Interval> runs =
                    workers.stream().flatMap(worker -> worker.intervals().stream()).toList();
            int twice = 0;
            for (Worker.Interval one : runs) {
                for (Worker.Interval other : runs) {
                    boolean first = one.startNanos() - other.startNanos() < 0;
                    long millis = (Math.min(one.endNanos(), other.endNanos()) - other.startNanos()) / 1_000_000;
                    if (first && one.task().equals(other.task()) && millis > 0) {
                        twice++;
                        stage.note("%s: run %d on %s and run %d on %s at the same time, for %d ms", one.task(), one.run(),
                                one.worker(), other.run(), other.worker(), millis);
                    }
                }
            }
            stage.note("%d tasks had two runs at a time", twice);
            return twice == 0 ? Stage.HELD : Stage.BROKEN;
        }
    }
}
