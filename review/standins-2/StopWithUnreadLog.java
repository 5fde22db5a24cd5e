import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Checks that a planned stop of an entry cuts off no request although nobody reads what the entry writes. */
final class StopWithUnreadLog {
    private static final int ENTRIES = 2;
    private static final int AGENTS = 3;
    private static final int CALLERS = 8;
    private static final int STOPPED_ENTRY = 1;
    private static final int LOAD_MILLIS = 15_000;
    private static final int GRACE_MILLIS = 6_000;
    private static final int LOSS_SLACK_MILLIS = 200;

    /** Requests that were sent up to then may be cut if their executor works in the last sixth of the grace period. */
    private static final int EXCUSED_MILLIS = 3_000;

    private static final int TASK_MILLIS = 300;
    private static final int DEADLINE_MILLIS = 4_000;

    private StopWithUnreadLog() {}

    /** A request to the stopped entry whose channel ended without an answer. */
    private record Cut(String job, long sentNanos, long endedNanos) {}

    public static void main(String[] arguments) {
        Stage.exit(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path recordFile) throws Exception {
        try (Stage stage = new Stage(recordFile)) {
            Store store = new Store(stage.storeAddress());
            store.writeConfig(stage.config(3, "/lohu930/"));
            List<Worker> workers = new ArrayList<>();
            for (int agent = 1; agent <= AGENTS; agent++) {
                workers.add(new Worker(stage, agent, 16_000, stage.worker(agent), stage.control(30 + agent)));
                stage.startAgent(agent, ENTRIES, stage.storeAddress());
            }
            Process reader = stage.readLog("edge-" + STOPPED_ENTRY);
            Process stopped = null;
            for (int entry = ENTRIES; entry >= 1; entry--) {
                stopped = stage.startEntry(entry, ENTRIES, stage.storeAddress());
            }
            for (int entry = 1; entry <= ENTRIES; entry++) {
                int started = entry;
                if (!Stage.await(() -> stage.submit(started, 2, 1_600, 100, 1_500).status() == 200, 20_000)) {
                    stage.note("entry %d completed no job", entry);
                    return Stage.NOT_RUN;
                }
            }
            AtomicBoolean inRotation = new AtomicBoolean(true);
            AtomicBoolean ended = new AtomicBoolean();
            List<Cut> cuts = new CopyOnWriteArrayList<>();
            Stage.daemonThreads("balancer").newThread(() -> probe(stage, inRotation, ended)).start();
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                boolean stays = caller % ENTRIES == 0;
                Thread thread = new Thread(() -> {
                    while (!ended.get()) {
                        send(stage, stays && inRotation.get() ? STOPPED_ENTRY : ENTRIES, cuts);
                    }
                });
                thread.start();
                callers.add(thread);
            }
            if (Stage.trouble()) {
                Stage.signal(reader, "STOP");
                stage.note("the process that reads the log of entry %d is stopped", STOPPED_ENTRY);
            }
            Thread.sleep(LOAD_MILLIS);
            int cutBefore = cuts.size();
            long stopNanos = System.nanoTime();
            Stage.signal(stopped, "TERM");
            stage.note("SIGTERM to entry %d; %d requests were cut before", STOPPED_ENTRY, cutBefore);
            boolean endedItself = stopped.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS);
            Stage.kill(stopped);
            stage.note("entry %d %s, %d ms after SIGTERM", STOPPED_ENTRY,
                    endedItself ? "has ended by itself" : "was killed", (System.nanoTime() - stopNanos) / 1_000_000);
            Thread.sleep(500);
            ended.set(true);
            for (Thread caller : callers) {
                caller.join(TimeUnit.SECONDS.toMillis(5));
            }
            int lost = 0;
            for (Cut cut : cuts) {
                long sentMillis = (cut.sentNanos() - stopNanos) / 1_000_000;
                long lastedMillis = (cut.endedNanos() - cut.sentNanos()) / 1_000_000;
                boolean passedOn = workers.stream()
                        .flatMap(worker -> worker.starts().stream())
                        .anyMatch(start -> start.task().startsWith(cut.job() + "."));
                boolean counts = sentMillis > EXCUSED_MILLIS && (passedOn || lastedMillis > LOSS_SLACK_MILLIS);
                lost += counts ? 1 : 0;
                stage.note("job %s, sent %d ms after SIGTERM: cut after %d ms, %s%s", cut.job(), sentMillis, lastedMillis,
                        passedOn ? "begun by an executor" : "not begun", counts ? ", lost" : "");
            }
            stage.note("%d requests are lost", lost);
            return lost == 0 ? Stage.HELD : Stage.BROKEN;
        }
    }

    private static void send(Stage stage, int entry, List<Cut> cuts) {
        String job = Stage.newId();
        long sentNanos = System.nanoTime();
        Stage.Answer answer = stage.submit(entry, "/lohu930/", job, 2, 1_600, TASK_MILLIS, DEADLINE_MILLIS);
        boolean connected = !answer.body().contains("Connection refused");
        if (answer.status() == 0 && connected && entry == STOPPED_ENTRY) {
            cuts.add(new Cut(job, sentNanos, System.nanoTime()));
        }
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks once a second whether the entry is ready; after two misses callers open no more channels to it. */
    private static void probe(Stage stage, AtomicBoolean inRotation, AtomicBoolean ended) {
        InetSocketAddress readiness = stage.address(10 + STOPPED_ENTRY, 2);
        int misses = 0;
        while (!ended.get()) {
            boolean ready = Stage.call(readiness, "GET", "/api/ready", "", 900).status() == 200;
            misses = ready ? 0 : misses + 1;
            inRotation.set(misses < 2);
            try {
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
