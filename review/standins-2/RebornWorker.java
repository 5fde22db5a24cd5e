import java.nio.file.Path;

/**
 * Checks that an executor is given no more than fits after it has started again, under its ID and with less capacity,
 * while its pings do not arrive.
 */
final class RebornWorker {
    private static final int ENTRIES = 2;
    private static final int LARGE_CPU = 24_000;
    private static final int SMALL_CPU = 16_000;
    private static final int SETTLE_MILLIS = 4_000;
    private static final int CUT_MILLIS = 2_500;
    private static final int TASKS = 7;
    private static final int TASK_CPU = 3_100;

    private RebornWorker() {}

    public static void main(String[] arguments) {
        Stage.exit(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path recordFile) throws Exception {
        try (Stage stage = new Stage(recordFile)) {
            Store store = new Store(stage.storeAddress());
            store.writeConfig(stage.config(3, "/lohu930/"));
            Worker worker = new Worker(stage, 1, LARGE_CPU, stage.worker(1), stage.control(31));
            stage.startAgent(1, ENTRIES, stage.storeAddress());
            for (int entry = 1; entry <= ENTRIES; entry++) {
                stage.startEntry(entry, ENTRIES, stage.storeAddress());
            }
            if (!Stage.await(() -> stage.submit(1, 2, TASK_CPU, 100, 1_500).status() == 200, 20_000)) {
                stage.note("no job was completed");
                return Stage.NOT_RUN;
            }
            Thread.sleep(SETTLE_MILLIS);
            if (Stage.trouble()) {
                worker.cutPings(CUT_MILLIS);
            }
            worker.restart(SMALL_CPU);
            Thread.sleep(500);
            stage.submit(1, TASKS, TASK_CPU, 800, 3_000);
            Thread.sleep(CUT_MILLIS);
            stage.submit(1, 2, TASK_CPU, 100, 1_500);
            stage.note("at most %d thousandths of a core were in use of %d", worker.mostUsed(), SMALL_CPU);
            return worker.mostUsed() > SMALL_CPU ? Stage.BROKEN : Stage.HELD;
        }
    }
}
