import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Checks that a ping of another writer, with fields missing, does not hide from an agent that its executor is draining.
 */
final class ForeignAnnouncement {
    private static final int ENTRIES = 2;
    private static final int AGENTS = 2;
    private static final int SETTLE_MILLIS = 5_000;
    private static final int LOAD_MILLIS = 8_000;

    private ForeignAnnouncement() {}

    public static void main(String[] arguments) {
        Stage.exit(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path recordFile) throws Exception {
        try (Stage stage = new Stage(recordFile)) {
            Store store = new Store(stage.storeAddress());
            store.writeConfig(stage.config(3, "/lohu930/"));
            List<Worker> workers = new ArrayList<>();
            for (int agent = 1; agent <= AGENTS; agent++) {
                workers.add(
                        new Worker(stage, agent, 16_000, stage.worker(agent), stage.control(30 + agent)));
                stage.startAgent(agent, ENTRIES, stage.storeAddress());
            }
            for (int entry = 1; entry <= ENTRIES; entry++) {
                stage.startEntry(entry, ENTRIES, stage.storeAddress());
            }
            if (!Stage.await(() -> stage.submit(1, 2, 1_600, 100, 1_500).status() == 200, 20_000)) {
                stage.note("no job was completed");
                return Stage.NOT_RUN;
            }
            AtomicBoolean stopped = new AtomicBoolean();
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < 8; caller++) {
                int entry = 1 + caller % ENTRIES;
                Thread thread = new Thread(() -> {
                    while (!stopped.get()) {
                        stage.submit(entry, 2, 1_600, 100, 1_500);
                    }
                });
                thread.start();
                callers.add(thread);
            }
            Thread.sleep(SETTLE_MILLIS);
            Worker leaving = workers.get(0);
            if (Stage.trouble()) {
                ObjectNode ping = Stage.JSON.createObjectNode();
                ping.put("service", Stage.SERVICE).put("state", "ready").put("born", leaving.born());
                ping.put("sequence", leaving.sequence() + 1_000);
                ping.putObject("capacity").put("cpu", 16_000).put("memMb", 32_768);
                Stage.Answer answer = Stage.call(
                        stage.control(31), "PUT", "/api/instances/" + leaving.id(), ping.toString(), 1_000);
                stage.note("ping of another writer for %s, without address, zone, version, slots and clockMs: %d",
                        leaving.id(), answer.status());
            }
            Thread.sleep(500);
            if (leaving.drain() != 200) {
                stage.note("the agent did not acknowledge that %s drains", leaving.id());
                stopped.set(true);
                return Stage.NOT_RUN;
            }
            long acknowledgedNanos = System.nanoTime();
            stage.note("the agent has acknowledged that %s drains", leaving.id());
            Thread.sleep(LOAD_MILLIS);
            stopped.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            long dueNanos = acknowledgedNanos + Stage.DRAIN_MILLIS * 1_000_000L;
            long late = leaving.starts().stream().filter(start -> start.nanos() - dueNanos > 0).count();
            stage.note("%d tasks were started on %s later than %d ms after that", late, leaving.id(), Stage.DRAIN_MILLIS);
            return late == 0 ? Stage.HELD : Stage.BROKEN;
        }
    }
}
