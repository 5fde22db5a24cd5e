import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the project's programs as processes with the commands of the deploy file,
 * a store, and one executor beside each agent.
 */
final class Site implements AutoCloseable {
    static final String HOST = "queue.example";
    static final String PREFIX = "/jobs/";
    static final int FRONT = 8161;
    private static final String SERVICE = "desk";
    private static final int APP = 8165;
    private static final int CONTROL = 8166;
    private static final int READY = 8167;
    private static final int STORE = 8169;
    private static final int LINK = 7720;
    private static final int METRICS = 7735;

    final Record record;
    final Store store;
    final List<Relay> relays = new ArrayList<>();
    private final Path root;
    private final Path directory;
    private final String net;
    private final int entries;
    private final int agents;
    private final boolean relayed;
    private final Map<String, Process> processes = new HashMap<>();

    Site(Path root, Record record, int entries, int agents, boolean relayed) throws IOException {
        this.root = root;
        this.record = record;
        this.entries = entries;
        this.agents = agents;
        this.relayed = relayed;
        this.directory = Files.createTempDirectory("review");
        this.net = freeNet();
        // Where links go through a relay, the other programs learn the relay's address of an entry, of the same length.
        this.store = new Store(row -> relayed ? row.replace("\"" + net + ".1.", "\"" + net + ".4.") : row);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static String freeNet() throws IOException {
        for (int i = 0; i < 200; i++) {
            String net = "127." + (20 + (ProcessHandle.current().pid() + i) % 200);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName(net + ".0.1"), STORE));
                return net;
            } catch (IOException e) {
                // In use by another run; the next one is tried.
            }
        }
        throw new IOException("no free loopback addresses");
    }

    String entryHost(int entry) {
        return net + ".1." + entry;
    }

    String agentHost(int agent) {
        return net + ".2." + agent;
    }

    private String linkHost(int entry) {
        return relayed ? net + ".4." + entry : entryHost(entry);
    }

    static Map<String, Object> route(String name, String prefix) {
        return Json.map(
                "name", name, "host", HOST, "pathPrefix", prefix, "kind", "non_idempotent", "timeoutMs", 30_000,
                "targetLatencyMs", 60, "priority", 0, "service", SERVICE, "maxAttempts", 4, "stretch", 1.6);
    }

    static Map<String, Object> config(int version, List<Object> routes) {
        return Json.map(
                "version", version, "routes", routes,
                "services", List.of(Json.map("name", SERVICE, "enforcesCapacity", false, "standby", false)),
                "limits", Json.map("maxHeaderBytes", 16_384, "maxBodyBytes", 262_144));
    }

    /** Starts everything and waits until all entries are ready; returns false if they are not in time. */
    boolean start() throws Exception {
        store.listen(net + ".0.1", STORE);
        store.config(config(4, List.of(route("jobs", PREFIX))));
        for (int entry = 1; entry <= entries && relayed; entry++) {
            relays.add(new Relay(linkHost(entry), LINK, entryHost(entry), net + ".1.", net + ".4."));
        }
        for (int agent = 1; agent <= agents; agent++) {
            new Executor("executor-" + agent, agentHost(agent), APP, CONTROL, SERVICE, record).start();
        }
        for (int entry = 1; entry <= entries; entry++) {
            launch("entry", "entry-" + entry, entryHost(entry));
        }
        for (int agent = 1; agent <= agents; agent++) {
            launch("agent", "agent-" + agent, agentHost(agent));
        }
        long end = record.now() + 30_000;
        while (record.now() < end) {
            Thread.sleep(200);
            int ready = 0;
            for (int entry = 1; entry <= entries; entry++) {
                ready += Http.call(entryHost(entry), READY, "GET", "/api/ready", "Host: x\r\n", "", 500).status() == 200
                        ? 1
                        : 0;
            }
            if (ready == entries) {
                Thread.sleep(3_000); // until all links are up and the programs are warm
                record.line("all entries are ready");
                return true;
            }
        }
        record.line("the entries did not become ready");
        return false;
    }

    private String settings(String role, String name, String host) throws IOException {
        StringBuilder seeds = new StringBuilder("[");
        for (int entry = 1; entry <= Math.min(3, entries); entry++) {
            seeds.append(entry == 1 ? "" : ",").append('"').append(linkHost(entry)).append(':').append(CONTROL).append('"');
        }
        Map<String, String> values = new HashMap<>();
        values.put("nodeName", '"' + name + '"');
        values.put("role", '"' + role + '"');
        values.put("region", "\"bretagne\"");
        int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        values.put("zone", "\"bretagne-" + "abc".charAt((number - 1) % 3) + '"');
        values.put("ip", '"' + host + '"');
        values.put("listenAddrs.front", role.equals("entry") ? '"' + host + ":" + FRONT + '"' : "null");
        values.put("listenAddrs.readiness", role.equals("entry") ? '"' + host + ":" + READY + '"' : "null");
        values.put("listenAddrs.control", '"' + host + ":" + CONTROL + '"');
        values.put("app", role.equals("agent") ? '"' + host + ":" + APP + '"' : "null");
        values.put("internalPorts.0", Integer.toString(LINK));
        values.put("internalPorts.1", Integer.toString(METRICS));
        values.put("seeds", seeds.append(']').toString());
        values.put("platform.address", '"' + net + ".0.1:" + STORE + '"');
        values.put("bounds.graceS", "6");
        Matcher field = Pattern.compile("\\{\\{([^|}]+)\\|json}}")
                .matcher(Files.readString(root.resolve("deploy/settings.json.tmpl")));
        return field.replaceAll(found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "null")));
    }

    void launch(String role, String name, String host) throws IOException {
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command for " + role);
        }
        Path file = directory.resolve(name + ".json");
        Files.writeString(file, settings(role, name, host));
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(directory.toFile(), name + ".log")));
        Map<String, String> variables = builder.environment();
        variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        variables.put("KNAPWEEDMOUNT_NODE_FILE", file.toString());
        processes.put(name, builder.start());
    }

    /** Returns whether all programs still run. */
    boolean allRun() {
        return processes.values().stream().allMatch(Process::isAlive);
    }

    static String headers(int deadlineMillis) {
        return "Host: " + HOST + "\r\n" + (deadlineMillis > 0 ? "X-Deadline-Ms: " + deadlineMillis + "\r\n" : "");
    }

    static String job(int tasks, int cpu, int millis) {
        return Json.write(Json.map(
                "spec", "ms=" + millis, Names.UNSTORED_FIELD, true,
                "steps", List.of(Json.map("count", tasks, "cpu", cpu, "memMb", 64, "estimateMs", millis))));
    }

    Socket post(int entry, String path, String body, int deadlineMillis) throws IOException {
        record.line("POST " + path + " sent to entry-" + entry + ": " + body);
        return Http.send(entryHost(entry), FRONT, "POST", path, headers(deadlineMillis), body);
    }

    Http.Answer delete(int entry, String path) {
        Http.Answer answer = Http.call(entryHost(entry), FRONT, "DELETE", path, headers(0), "", 2_000);
        record.line("DELETE " + path + " at entry-" + entry + " answered " + answer.status());
        return answer;
    }

    /** Waits until a number of runs of a job have started; returns false if they have not. */
    boolean awaitStarts(String job, int count, int millis) throws InterruptedException {
        long end = record.now() + millis;
        while (record.runs(job).size() < count && record.now() < end) {
            Thread.sleep(5);
        }
        return record.runs(job).size() >= count;
    }

    @Override
    public synchronized void close() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + directory);
            return;
        }
        File[] files = directory.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        directory.toFile().delete();
    }
}
