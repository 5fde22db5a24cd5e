import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Checks that the system serves again after a kill of all processes although nobody reads what they write. */
final class StoppedLogReaders {
    private static final int ENTRIES = 2;
    private static final int AGENTS = 3;
    private static final int LOAD_MILLIS = 8_000;
    private static final int GRACE_MILLIS = 6_000;
    private static final int RESTART_LOAD_MILLIS = 5_000;
    private static final int DOWN_MILLIS = 1_000;
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int JUDGED_MILLIS = 10_000;

    private StoppedLogReaders() {}

    public static void main(String[] arguments) {
        Stage.exit(() -> run(Path.of(arguments[0])));
    }

    /** The requests of callers in one part of the run. */
    private static final class Count {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        @Override
        public String toString() {
            return served + " of " + sent + " requests served";
        }
    }

    private static int run(Path recordFile) throws Exception {
        try (Stage stage = new Stage(recordFile)) {
            Store store = new Store(stage.storeAddress());
            store.writeConfig(stage.config(3, "/lohu930/"));
            List<Process> readers = new ArrayList<>();
            for (int agent = 1; agent <= AGENTS; agent++) {
                new Worker(stage, agent, 16_000, stage.worker(agent), stage.control(30 + agent));
                readers.add(stage.readLog("side-" + agent));
            }
            for (int entry = 1; entry <= ENTRIES; entry++) {
                readers.add(stage.readLog("edge-" + entry));
            }
            List<Process> programs = startAll(stage);
            if (!Stage.await(() -> stage.submit(1, 2, 1_600, 100, 1_500).status() == 200, 20_000)) {
                stage.note("no job was completed");
                return Stage.NOT_RUN;
            }
            Count before = load(stage, LOAD_MILLIS);
            stage.note("before: %s", before);
            if (Stage.trouble()) {
                for (Process reader : readers) {
                    Stage.signal(reader, "STOP");
                }
                stage.note("the processes that read the logs are stopped");
            }
            Count unread = load(stage, LOAD_MILLIS);
            stage.note("before the final fault: %s", unread);
            Process agent = programs.get(0);
            Stage.signal(agent, "TERM");
            boolean ended = agent.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS);
            Stage.kill(agent);
            programs.set(0, stage.startAgent(1, ENTRIES, stage.storeAddress()));
            stage.note("an agent was stopped as planned, %s, and started again",
                    ended ? "ended by itself" : "killed at the end of the grace period");
            Count restarted = load(stage, RESTART_LOAD_MILLIS);
            stage.note("after that: %s", restarted);
            store.writeConfig(stage.config(5, "/lohu930/"));
            stage.note("the store has confirmed version 5");
            for (Process program : programs) {
                Stage.kill(program);
            }
            stage.note("all processes are killed");
            Thread.sleep(DOWN_MILLIS);
            startAll(stage);
            Thread.sleep(RECOVERY_MILLIS);
            Count after = load(stage, JUDGED_MILLIS);
            stage.note("later than %d ms after the processes are back: %s", RECOVERY_MILLIS, after);
            for (int entry = 1; entry <= ENTRIES; entry++) {
                InetSocketAddress readiness = stage.address(10 + entry, 2);
                stage.note("entry %d: GET /api/ready: %s", entry, Stage.call(readiness, "GET", "/api/ready", "", 1_000));
            }
            int sentBefore = before.sent.get() + unread.sent.get() + restarted.sent.get();
            if (4 * (before.served.get() + unread.served.get() + restarted.served.get()) < sentBefore) {
                return Stage.NOT_RUN;
            }
            return 4 * after.served.get() < after.sent.get() ? Stage.BROKEN : Stage.HELD;
        }
    }

    private static List<Process> startAll(Stage stage) throws Exception {
        List<Process> programs = new ArrayList<>();
        for (int agent = 1; agent <= AGENTS; agent++) {
            programs.add(stage.startAgent(agent, ENTRIES, stage.storeAddress()));
        }
        for (int entry = 1; entry <= ENTRIES; entry++) {
            programs.add(stage.startEntry(entry, ENTRIES, stage.storeAddress()));
        }
        return programs;
    }

    private static Count load(Stage stage, int millis) throws Exception {
        Count count = new Count();
        AtomicBoolean stopped = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < 8; caller++) {
            int entry = 1 + caller % ENTRIES;
            Thread thread = new Thread(() -> {
                while (!stopped.get()) {
                    count.sent.incrementAndGet();
                    if (stage.submit(entry, 2, 1_600, 100, 1_500).status() == 200) {
                        count.served.incrementAndGet();
                    }
                }
            });
            thread.start();
            callers.add(thread);
        }
        Thread.sleep(millis);
        stopped.set(true);
        for (Thread caller : callers) {
            caller.join(TimeUnit.SECONDS.toMillis(5));
        }
        return count;
    }
}
