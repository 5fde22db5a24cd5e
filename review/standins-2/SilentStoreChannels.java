import java.net.InetSocketAddress;
import java.nio.file.Path;

/** Checks that a new configuration is in force in time although the open connections to the store have gone silent. */
final class SilentStoreChannels {
    private static final int ENTRIES = 3;
    private static final int AGENTS = 3;

    /** The processes find each other and list the entries several times meanwhile. */
    private static final int SETTLE_MILLIS = 12_000;

    private static final int POLLS = 100;

    private SilentStoreChannels() {}

    public static void main(String[] arguments) {
        Stage.exit(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path recordFile) throws Exception {
        try (Stage stage = new Stage(recordFile)) {
            Store store = new Store(stage.storeAddress());
            Proxy proxy = new Proxy(stage.address(2, 0), stage.storeAddress());
            InetSocketAddress storeSeen = stage.address(2, 0);
            store.writeConfig(stage.config(3, "/lohu930/"));
            for (int agent = 1; agent <= AGENTS; agent++) {
                new Worker(stage, agent, 16_000, stage.worker(agent), stage.control(30 + agent));
                stage.startAgent(agent, ENTRIES, storeSeen);
            }
            for (int entry = 1; entry <= ENTRIES; entry++) {
                stage.startEntry(entry, ENTRIES, storeSeen);
            }
            for (int entry = 1; entry <= ENTRIES; entry++) {
                InetSocketAddress callers = stage.callers(entry);
                if (!Stage.await(() -> Stage.call(callers, "GET", "/lohu930/", "", 500).status() == 200, 20_000)) {
                    stage.note("entry %d does not serve the first route", entry);
                    return Stage.NOT_RUN;
                }
            }
            Thread.sleep(SETTLE_MILLIS);
            store.writeConfig(stage.config(5, "/lohu930/"));
            stage.note("the store has confirmed version 5");
            Thread.sleep(100);
            long troubleNanos = System.nanoTime();
            if (Stage.trouble()) {
                stage.note("%d open connections to the store go silent; new ones work", proxy.silenceOpen());
            }
            Thread.sleep(Stage.CONTACT_MILLIS - Stage.CONFIG_APPLY_MILLIS);
            store.writeConfig(stage.config(8, "/lohu930/", "/zeni114/"));
            long confirmedNanos = System.nanoTime();
            stage.note("the store has confirmed version 8, which adds the route /zeni114/");
            long dueNanos = Math.max(
                    confirmedNanos + Stage.CONFIG_APPLY_MILLIS * 1_000_000L,
                    troubleNanos + Stage.CONTACT_MILLIS * 1_000_000L);
            int broken = 0;
            for (int poll = 0; poll < POLLS; poll++) {
                for (int entry = 1; entry <= ENTRIES; entry++) {
                    long sentNanos = System.nanoTime();
                    boolean due = sentNanos - dueNanos > 0;
                    Stage.Answer answer = poll % 4 == 0 && due
                            ? stage.submit(entry, "/zeni114/", Stage.newId(), 1, 1_600, 100, 1_500)
                            : Stage.call(stage.callers(entry), "GET", "/zeni114/", "", 1_000);
                    boolean refused = due && answer.status() == 404;
                    broken += refused ? 1 : 0;
                    stage.note("entry %d: request for /zeni114/, sent %d ms after the confirmation: %d%s", entry,
                            (sentNanos - confirmedNanos) / 1_000_000, answer.status(),
                            refused ? ", after the bound" : "");
                }
                Thread.sleep(50);
            }
            stage.note("%d requests were refused as by an older version after the bound", broken);
            return broken == 0 ? Stage.HELD : Stage.BROKEN;
        }
    }
}
