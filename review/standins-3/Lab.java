import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the project's programs as processes, and stand-ins for the platform's store,
 * executors, the operator and clients. Uses the JDK only.
 */
final class Lab implements AutoCloseable {
    static final int LINK_PORT = 7720;
    static final int METRICS_PORT = 7735;
    static final int FRONT_PORT = 8161;
    static final int APP_PORT = 8165;
    static final int CONTROL_PORT = 8166;
    static final int READY_PORT = 8167;
    static final int STORE_PORT = 8169;
    static final String SERVICE = "desk";
    static final String HOST = "desk.example";

    final String subnet;
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Path temporary;
    final long startNanos = System.nanoTime();
    final Store store;
    final Map<String, Process> processes = new ConcurrentHashMap<>();
    final List<Worker> workers = new ArrayList<>();
    final Map<Integer, LinkRelay> relays = new TreeMap<>();
    final Map<String, int[]> cpuByStep = new ConcurrentHashMap<>();
    private final java.util.Set<String> startedJobs = ConcurrentHashMap.newKeySet();
    /** The processes that are cut off from all other processes. */
    final java.util.Set<String> cutProcesses = new java.util.HashSet<>();
    private final PrintWriter record;
    private final boolean relayed;
    private final int entries;
    private final int agents;
    private volatile boolean closed;

    Lab(Path folder, int entries, int agents, boolean relayed) throws IOException {
        this.folder = folder;
        this.entries = entries;
        this.agents = agents;
        this.relayed = relayed;
        this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        this.temporary = Files.createTempDirectory("review-3-");
        this.subnet = freeSubnet();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        this.store = new Store(this);
        if (relayed) {
            for (int entry = 1; entry <= entries; entry++) {
                relays.put(entry, new LinkRelay(this, entry));
            }
        }
        for (int agent = 1; agent <= agents; agent++) {
            workers.add(new Worker(this, agent));
        }
    }

    private static String freeSubnet() throws IOException {
        long first = ProcessHandle.current().pid() + System.nanoTime() / 1_000;
        for (int i = 0; i < 200; i++) {
            String subnet = "127." + (20 + Math.floorMod(first + i, 200));
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName(subnet + ".0.1"), STORE_PORT));
                return subnet;
            } catch (IOException e) {
                // Another deployment uses it.
            }
        }
        throw new IOException("no free loopback subnet");
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void log(String line) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%7d %s", millis(), line));
        }
    }

    String entryHost(int entry) {
        return subnet + ".1." + entry;
    }

    /** The address by which other processes reach an entry; of the same length as its own one. */
    String relayHost(int entry) {
        return subnet + ".4." + entry;
    }

    String agentHost(int agent) {
        return subnet + ".2." + agent;
    }

    static void sleep(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
    }

    void sleepUntil(long millis) throws InterruptedException {
        sleep(millis - millis());
    }

    // --- the programs ---

    void startAll() throws IOException, InterruptedException {
        for (int entry = 1; entry <= entries; entry++) {
            startEntry(entry);
        }
        for (int agent = 1; agent <= agents; agent++) {
            startAgent(agent);
        }
        for (Worker worker : workers) {
            worker.begin("i-" + worker.number + "-1");
        }
        awaitReady();
    }

    void startEntry(int entry) throws IOException {
        Map<String, Object> values = values("edge-" + entry, "entry", entryHost(entry), entry);
        values.put("listenAddrs.front", entryHost(entry) + ":" + FRONT_PORT);
        values.put("listenAddrs.readiness", entryHost(entry) + ":" + READY_PORT);
        values.put("limits.memoryMb", 430);
        start("edge-" + entry, "entry", values);
    }

    void startAgent(int agent) throws IOException {
        Map<String, Object> values = values("side-" + agent, "agent", agentHost(agent), agent);
        values.put("app", agentHost(agent) + ":" + APP_PORT);
        values.put("service", SERVICE);
        values.put("limits.memoryMb", 298);
        start("side-" + agent, "agent", values);
    }

    private Map<String, Object> values(String name, String role, String host, int number) {
        Map<String, Object> values = new TreeMap<>();
        values.put("nodeName", name);
        values.put("role", role);
        values.put("region", "norte");
        values.put("zone", "norte-" + "abc".charAt((number - 1) % 3));
        values.put("ip", host);
        values.put("listenAddrs.control", host + ":" + CONTROL_PORT);
        values.put("internalPorts.0", LINK_PORT);
        values.put("internalPorts.1", METRICS_PORT);
        List<Object> seeds = new ArrayList<>();
        for (int entry = 1; entry <= entries; entry++) {
            seeds.add((relayed ? relayHost(entry) : entryHost(entry)) + ":" + CONTROL_PORT);
        }
        values.put("seeds", seeds);
        values.put("platform.address", subnet + ".0.1:" + STORE_PORT);
        values.put("bounds.farFactor", 1.5);
        values.put("bounds.graceS", 6);
        values.put("limits.maxFds", 4100);
        return values;
    }

    private void start(String name, String role, Map<String, Object> values) throws IOException {
        String template = Files.readString(root.resolve("deploy/settings.json.tmpl"));
        Matcher placeholder = Pattern.compile("\\{\\{([A-Za-z0-9.]+)\\|json}}").matcher(template);
        String settings = placeholder.replaceAll(
                found -> Matcher.quoteReplacement(Json.write(values.get(found.group(1)))));
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, settings);
        Matcher run = Pattern.compile("^run = \"(java .* " + role + ")\"$", Pattern.MULTILINE)
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command for role " + role);
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".out").toFile()));
        builder.environment().put("KNAPWEEDMOUNT_NODE_FILE", file.toString());
        processes.put(name, builder.start());
        log("start " + name);
    }

    void awaitReady() throws IOException, InterruptedException {
        for (int entry = 1; entry <= entries; entry++) {
            while (Http.call(entryHost(entry), READY_PORT, "GET", "/api/ready", Map.of(), null, 1_000).status != 200) {
                if (millis() > 40_000) {
                    throw new IOException("edge-" + entry + " is not ready");
                }
                sleep(100);
            }
        }
        log("all entries are ready");
    }

    void signal(String process, String signal) throws IOException, InterruptedException {
        log("SIG" + signal + " to " + process);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(process).pid()))
                .start()
                .waitFor();
    }

    /** Cuts a process off from all other processes, without a word to any of them, or ends that. */
    void cut(String process, boolean cutting) {
        log(process + (cutting ? " is cut off from all other machines" : " is cut off no more"));
        synchronized (cutProcesses) {
            if (cutting) {
                cutProcesses.add(process);
            } else {
                cutProcesses.remove(process);
            }
            cutProcesses.notifyAll();
        }
    }

    private void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        endProcesses();
        store.close();
        for (Worker worker : workers) {
            worker.close();
        }
        for (LinkRelay relay : relays.values()) {
            relay.close();
        }
        record.close();
        String keep = System.getenv("KEEP_LOGS");
        if (keep == null) {
            try (var files = Files.list(temporary)) {
                for (Path file : files.toList()) {
                    Files.deleteIfExists(file);
                }
            }
            Files.deleteIfExists(temporary);
        } else {
            System.out.println("logs in " + temporary);
        }
    }

    boolean isClosed() {
        return closed;
    }

    // --- the operator ---

    /** Writes a config with the given routes; each is a path prefix. */
    void writeConfig(int version, String... prefixes) {
        List<Object> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add(Json.object(
                    "name", "r-" + prefix.replace("/", ""),
                    "host", HOST,
                    "pathPrefix", prefix,
                    "kind", "non_idempotent",
                    "timeoutMs", 30_000,
                    "targetLatencyMs", 60,
                    "priority", 0,
                    "service", SERVICE,
                    "maxAttempts", 4,
                    "stretch", 1.6));
        }
        Object services = List.of(Json.object(
                "name", SERVICE,
                "healthPath", "/health",
                "maxConns", 64,
                "protocol", "h1",
                "tls", false,
                "enforcesCapacity", false,
                "standby", false));
        Object limits = Json.object(
                "maxHeaderBytes", 16_384,
                "maxBodyBytes", 262_144,
                "headerTimeoutMs", 3_000,
                "idleTimeoutMs", 15_000);
        store.put(
                "op",
                "config",
                Json.write(Json.object("version", version, "routes", routes, "services", services, "limits", limits)));
        log("config " + version + " is confirmed");
    }

    // --- clients ---

    /** Sends a job and waits for its answer. */
    Http.Answer submit(int entry, String path, String body, int deadlineMillis, String note) {
        log("client POST " + path + " to edge-" + entry + " " + note);
        Http.Answer answer = Http.call(
                entryHost(entry),
                FRONT_PORT,
                "POST",
                path,
                Map.of("Host", HOST, "Content-Type", "application/json", "X-Deadline-Ms", "" + deadlineMillis),
                body,
                deadlineMillis);
        log("client POST " + path + " answered " + answer);
        return answer;
    }

    Http.Answer cancel(int entry, String path) {
        log("client DELETE " + path + " to edge-" + entry);
        Http.Answer answer = Http.call(
                entryHost(entry), FRONT_PORT, "DELETE", path, Map.of("Host", HOST, "X-Deadline-Ms", "1500"), null, 1_500);
        log("client DELETE " + path + " answered " + answer);
        return answer;
    }

    /** Records what a job's tasks request, for the check of capacity. */
    void expect(String id, int... cpuOfSteps) {
        cpuByStep.put(id, cpuOfSteps);
    }

    void taskStarted(String task) {
        startedJobs.add(task.split("\\.")[0]);
    }

    /** Throws an exception if no task of a job was ever started, so that the case has shown nothing. */
    void requireStarted(String id) {
        if (!startedJobs.contains(id)) {
            throw new IllegalStateException("no task of job " + id + " was started");
        }
    }

    int cpu(String task) {
        String[] parts = task.split("\\.");
        int[] steps = cpuByStep.getOrDefault(parts[0], new int[0]);
        int step = Integer.parseInt(parts[2]);
        return step < steps.length ? steps[step] : 0;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}

/** The platform's store: tables of rows with one version counter. */
final class Store {
    private record Row(String table, String key, String value, long version, boolean removed) {
        Object json() {
            Map<String, Object> row = Json.object("table", table, "part", "", "key", key, "value", value, "ver", version);
            if (removed) {
                row.put("removed", true);
            }
            return row;
        }
    }

    private final Lab lab;
    private final Server server;
    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private long version = 100;

    Store(Lab lab) throws IOException {
        this.lab = lab;
        this.server = new Server(lab.subnet + ".0.1", Lab.STORE_PORT, this::handle);
    }

    synchronized void put(String table, String key, String text) {
        putValue(table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void putValue(String table, String key, String value) {
        version++;
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(table, key, value, version, false));
    }

    /** Lets a row name the relay of an entry, as the network would lead to it. */
    private String relayed(String value) {
        String text = new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
        String led = lab.relays.isEmpty() ? text : text.replace(lab.subnet + ".1.", lab.subnet + ".4.");
        return Base64.getEncoder().encodeToString(led.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized Http.Answer handle(Http.Request request) throws InterruptedException {
        if (request.path.equals(Names.STORE_READ)) {
            return read(request);
        }
        if (request.path.equals(Names.STORE_FOLLOW)) {
            return follow(request);
        }
        return request.path.equals(Names.STORE_WRITE) ? transact(request.json()) : new Http.Answer(404, "");
    }

    private Http.Answer read(Http.Request request) {
        String from = request.query.getOrDefault("from", "");
        String to = request.query.get("to");
        int limit = Integer.parseInt(request.query.getOrDefault("limit", "500"));
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Row row : tables.getOrDefault(request.query.get("table"), new TreeMap<>())
                .tailMap(from, true)
                .values()) {
            if (row.removed || (to != null && row.key.compareTo(to) >= 0)) {
                continue;
            }
            if (rows.size() == limit) {
                more = true;
                break;
            }
            rows.add(row.json());
        }
        return answer(200, rows, more);
    }

    private Http.Answer follow(Http.Request request) throws InterruptedException {
        long after = Long.parseLong(request.query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(request.query.get("waitMs")) * 1_000_000;
        List<Object> rows = changed(request.query.get("table"), after);
        while (rows.isEmpty() && endNanos - System.nanoTime() > 0) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
            rows = changed(request.query.get("table"), after);
        }
        return answer(200, rows, false);
    }

    private List<Object> changed(String table, long after) {
        return new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).values().stream()
                .filter(row -> row.version > after)
                .sorted((one, other) -> Long.compare(one.version, other.version))
                .map(Row::json)
                .toList());
    }

    private Http.Answer transact(Map<String, Object> body) {
        List<Object> conflicts = new ArrayList<>();
        boolean holds = true;
        for (Object item : Json.list(body.get("precondition"))) {
            Map<String, Object> condition = Json.map(item);
            Row row = tables.getOrDefault(condition.get("table"), new TreeMap<>()).get(condition.get("key"));
            boolean exists = row != null && !row.removed;
            if ((exists ? row.version : 0) != Json.number(condition.get("ver"))) {
                holds = false;
                if (exists) {
                    conflicts.add(row.json());
                }
            }
        }
        if (!holds) {
            return answer(412, conflicts, false);
        }
        for (Object item : Json.list(body.get("writes"))) {
            Map<String, Object> write = Json.map(item);
            putValue((String) write.get("table"), (String) write.get("key"), relayed((String) write.get("value")));
        }
        for (Object item : Json.list(body.get("remove"))) {
            Map<String, Object> remove = Json.map(item);
            version++;
            tables.computeIfAbsent((String) remove.get("table"), name -> new TreeMap<>())
                    .put(
                            (String) remove.get("key"),
                            new Row((String) remove.get("table"), (String) remove.get("key"), "", version, true));
        }
        notifyAll();
        return answer(200, List.of(), false);
    }

    private Http.Answer answer(int status, List<Object> rows, boolean more) {
        return new Http.Answer(
                status,
                Json.write(Json.object(
                        "rows", rows, "hasMore", more, "ver", version, "nowMs", System.nanoTime() / 1_000_000)));
    }

    void close() throws IOException {
        server.close();
    }
}

/** An executor on a side machine, which doesn't guard its capacity. */
final class Worker {
    static final int CPU = 16_000;
    static final int MAX_LEASE_MILLIS = 1_000;
    static final int STOP_MILLIS = 10;

    static final class Run {
        final String task;
        final int number;
        final int cpu;
        final long startMillis;
        final long doneMillis;
        long stopMillis = Long.MAX_VALUE;

        Run(String task, int number, int cpu, long startMillis, long doneMillis) {
            this.task = task;
            this.number = number;
            this.cpu = cpu;
            this.startMillis = startMillis;
            this.doneMillis = doneMillis;
        }

        String name() {
            return task + "#" + number;
        }
    }

    /** Is told of what the executor does. */
    interface Listener {
        default void started(Worker worker, Run run, long millis) {}

        default void ended(Worker worker, Run run, String how, long millis) {}
    }

    final Lab lab;
    final int number;
    final String host;
    volatile Listener listener = new Listener() {};
    /** Chooses the calls that get no answer now; the returned time in ms is when the call is carried out, -1 for at once. */
    volatile java.util.function.ToLongFunction<Http.Request> late = request -> -1;
    private final Server server;
    private final Map<String, Run> runs = new TreeMap<>();
    private final Map<String, Integer> highestEnded = new TreeMap<>();
    private final TreeMap<Long, List<Object>> ends = new TreeMap<>();
    String id = "";
    long born;
    long sequence;
    boolean alive;
    boolean draining;
    private long clockBase;
    private long beginMillis;
    private long fence;
    private long leaseMillis;
    private long lastEnd;

    Worker(Lab lab, int number) throws IOException {
        this.lab = lab;
        this.number = number;
        this.host = lab.agentHost(number);
        this.server = new Server(host, Lab.APP_PORT, this::handle);
        daemon(this::advanceAll);
        daemon(this::pingAll);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void begin(String newId) {
        id = newId;
        born = System.currentTimeMillis();
        sequence = 0;
        alive = true;
        draining = false;
        clockBase = 480_000 + number;
        beginMillis = lab.millis();
        fence = 0;
        leaseMillis = 0;
        lastEnd = 0;
        runs.clear();
        highestEnded.clear();
        ends.clear();
        lab.log("executor " + id + "@" + born + " begins on side-" + number);
        notifyAll();
    }

    synchronized void crash() {
        lab.log("executor " + id + "@" + born + " crashes");
        alive = false;
        for (Run run : List.copyOf(runs.values())) {
            listener.ended(this, run, "crashed", lab.millis());
        }
        runs.clear();
        notifyAll();
        server.dropConnections();
    }

    long clock() {
        return clockBase + lab.millis() - beginMillis;
    }

    synchronized int usedCpu() {
        return runs.values().stream().mapToInt(run -> run.cpu).sum();
    }

    private void advanceAll() {
        try {
            while (!lab.isClosed()) {
                Lab.sleep(1);
                synchronized (this) {
                    advance();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void advance() {
        long now = lab.millis();
        boolean lapsed = alive && !runs.isEmpty() && clock() >= leaseMillis;
        for (Run run : List.copyOf(runs.values())) {
            if (lapsed) {
                end(run, "lapsed", now);
            } else if (run.doneMillis <= now && run.doneMillis <= run.stopMillis) {
                end(run, "done", now);
            } else if (run.stopMillis <= now) {
                end(run, "stopped", now);
            }
        }
    }

    private void end(Run run, String how, long now) {
        runs.remove(run.name());
        highestEnded.merge(run.task, run.number, Math::max);
        lastEnd++;
        ends.put(lastEnd, List.of(lastEnd, run.task, run.number, how, ""));
        lab.log("executor " + id + " " + run.name() + " " + how);
        listener.ended(this, run, how, now);
        notifyAll();
    }

    private Http.Answer handle(Http.Request request) throws InterruptedException {
        if (request.path.equals("/health")) {
            return new Http.Answer(200, "");
        }
        long millis = late.applyAsLong(request);
        if (millis >= 0) {
            daemon(() -> {
                try {
                    lab.sleepUntil(millis);
                    execute(request);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            return null;
        }
        return execute(request);
    }

    private synchronized Http.Answer execute(Http.Request request) throws InterruptedException {
        advance();
        if (!alive) {
            return null;
        }
        if (!id.equals(request.headers.get("x-expect-instance"))) {
            return new Http.Answer(421, "");
        }
        Map<String, Object> call = request.json();
        long token = Json.number(call.getOrDefault(Names.TOKEN, 0L));
        if (token < fence) {
            return conflict("fence");
        }
        fence = token;
        if (request.path.equals(Names.WORKER_START)) {
            return start(call);
        }
        if (request.path.equals(Names.WORKER_STOP)) {
            return stop(call);
        }
        return request.path.equals(Names.WORKER_LIST) ? list(call) : new Http.Answer(404, "");
    }

    private Http.Answer conflict(String reason) {
        return new Http.Answer(409, Json.write(Json.object("clockMs", clock(), "born", born, "reason", reason)));
    }

    private Http.Answer confirmed() {
        return new Http.Answer(200, Json.write(Json.object("clockMs", clock(), "born", born)));
    }

    private void extend(Object untilMillis) {
        if (untilMillis != null) {
            leaseMillis = Math.max(leaseMillis, Math.min(Json.number(untilMillis), clock() + MAX_LEASE_MILLIS));
        }
    }

    private Http.Answer start(Map<String, Object> call) {
        String task = (String) call.get("task");
        int run = (int) Json.number(call.get("runId"));
        if (Json.number(call.get("untilMs")) <= clock()) {
            return conflict("late");
        }
        extend(call.get("untilMs"));
        if (runs.containsKey(task + "#" + run)) {
            return confirmed();
        }
        if (highestEnded.getOrDefault(task, 0) >= run) {
            return conflict("old");
        }
        long now = lab.millis();
        Run started = new Run(task, run, lab.cpu(task), now, now + duration((String) call.get("spec"), task));
        runs.put(started.name(), started);
        lab.log("executor " + id + " " + started.name() + " starts, " + usedCpu() + " of " + CPU + " in use");
        lab.taskStarted(task);
        listener.started(this, started, now);
        return confirmed();
    }

    /** A spec lists the time that the tasks of each step take, in ms; after "=" they end together with each half second. */
    private long duration(String spec, String task) {
        if (spec.startsWith("=")) {
            long earliest = lab.millis() + Long.parseLong(spec.substring(1));
            return 500 * (earliest / 500 + 1) - lab.millis();
        }
        String[] steps = spec.split(",");
        int step = Integer.parseInt(task.split("\\.")[2]);
        return Long.parseLong(steps[Math.min(step, steps.length - 1)]);
    }

    private Http.Answer stop(Map<String, Object> call) {
        String task = (String) call.get("task");
        int number = (int) Json.number(call.get("runId"));
        highestEnded.merge(task, number, Math::max);
        Run run = runs.get(task + "#" + number);
        if (run != null) {
            run.stopMillis = Math.min(run.stopMillis, lab.millis() + STOP_MILLIS);
        }
        return confirmed();
    }

    private Http.Answer list(Map<String, Object> call) throws InterruptedException {
        extend(call.get("untilMs"));
        ends.headMap(Json.number(call.getOrDefault(Names.ACKNOWLEDGED, 0L)), true).clear();
        long endNanos = System.nanoTime() + Json.number(call.getOrDefault("waitMs", 0L)) * 1_000_000;
        long life = born;
        while (ends.isEmpty() && alive && born == life && endNanos - System.nanoTime() > 0) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        if (!alive || born != life) {
            return null;
        }
        long now = lab.millis();
        List<Object> running = new ArrayList<>();
        for (Run run : runs.values()) {
            long percent = Math.min(99, 100 * (now - run.startMillis) / Math.max(1, run.doneMillis - run.startMillis));
            running.add(List.of(run.task, run.number, "", percent));
        }
        List<Object> ended = new ArrayList<>(ends.values().stream().limit(500).toList());
        return new Http.Answer(
                200, Json.write(Json.object("clockMs", clock(), "born", born, "running", running, "ended", ended)));
    }

    // --- pings ---

    private void pingAll() {
        try {
            while (!lab.isClosed()) {
                boolean confirmed = alive && ping() == 200;
                synchronized (this) {
                    wait(confirmed ? 1_500 : 300);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int ping() {
        String body;
        String path;
        synchronized (this) {
            sequence++;
            path = "/api/instances/" + id;
            body = Json.write(pingBody(draining ? "draining" : "ready", sequence));
        }
        Http.Answer answer = Http.call(
                host, Lab.CONTROL_PORT, "PUT", path, Map.of("Content-Type", "application/json"), body, 1_000);
        if (draining || answer.status != 200) {
            lab.log("ping " + path + " state=" + (draining ? "draining" : "ready") + " answered " + answer.status);
        }
        return answer.status;
    }

    Map<String, Object> pingBody(String state, long number) {
        Map<String, Object> ping = Json.object(
                "service", Lab.SERVICE,
                "address", host + ":" + Lab.APP_PORT,
                "zone", "norte-" + "abc".charAt((this.number - 1) % 3),
                "version", "v1",
                "slots", 8,
                "state", state,
                Names.WARM_UP, 0,
                "capacity", Json.object("cpu", CPU, "memMb", 32_768, "gpu", 0),
                "labels", List.of("a", "r1-" + this.number),
                "clockMs", clock(),
                "born", born,
                "sequence", number);
        if (state.equals("draining")) {
            ping.put("remainingMs", 20_000);
        }
        return ping;
    }

    /** Reports that the executor drains; returns the status of the answer. */
    int drain() {
        synchronized (this) {
            draining = true;
        }
        return ping();
    }

    void close() throws IOException {
        server.close();
    }
}

/** Passes on the links to one entry. While a process is cut off, nothing passes between it and others. */
final class LinkRelay {
    private final Lab lab;
    private final int entry;
    private final ServerSocket server;
    private final List<Socket[]> pairs = new ArrayList<>();

    LinkRelay(Lab lab, int entry) throws IOException {
        this.lab = lab;
        this.entry = entry;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(lab.relayHost(entry)), Lab.LINK_PORT), 128);
        daemon(this::accept);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket opener = server.accept();
                daemon(() -> join(opener));
            } catch (IOException e) {
                // This relay is closed.
            }
        }
    }

    private void join(Socket opener) {
        try {
            opener.setTcpNoDelay(true);
            byte[] hello = frame(opener.getInputStream());
            if (hello == null) {
                reset(opener);
                return;
            }
            Matcher name = Pattern.compile("(edge|side)-[0-9]+").matcher(new String(hello, StandardCharsets.ISO_8859_1));
            String process = name.find() ? name.group() : "";
            await(process);
            Socket target = new Socket();
            target.connect(new InetSocketAddress(InetAddress.getByName(lab.entryHost(entry)), Lab.LINK_PORT), 1_000);
            target.setTcpNoDelay(true);
            synchronized (pairs) {
                pairs.add(new Socket[] {opener, target});
            }
            target.getOutputStream().write(hello);
            daemon(() -> pass(process, opener, target));
            daemon(() -> pass(process, target, opener));
        } catch (IOException e) {
            reset(opener);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits as long as the link between a process and the entry is cut. */
    private void await(String process) throws InterruptedException {
        synchronized (lab.cutProcesses) {
            while (lab.cutProcesses.contains(process) || lab.cutProcesses.contains("edge-" + entry)) {
                lab.cutProcesses.wait();
            }
        }
    }

    /** Reads a message with its length and replaces the address of each entry by that of its relay, of the same length. */
    private byte[] frame(InputStream in) throws IOException {
        byte[] header = in.readNBytes(4);
        if (header.length < 4) {
            return null;
        }
        int length = java.nio.ByteBuffer.wrap(header).getInt();
        byte[] bytes = java.util.Arrays.copyOf(header, 4 + length);
        if (in.readNBytes(bytes, 4, length) < length) {
            return null;
        }
        byte[] search = (lab.subnet + ".1.").getBytes(StandardCharsets.US_ASCII);
        byte[] replacement = (lab.subnet + ".4.").getBytes(StandardCharsets.US_ASCII);
        for (int i = 4; i + search.length <= bytes.length; i++) {
            if (java.util.Arrays.equals(bytes, i, i + search.length, search, 0, search.length)) {
                System.arraycopy(replacement, 0, bytes, i, replacement.length);
            }
        }
        return bytes;
    }

    private void pass(String process, Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (byte[] frame = frame(in); frame != null; frame = frame(in)) {
                await(process);
                out.write(frame);
                out.flush();
            }
            await(process);
        } catch (IOException e) {
            // One end is closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        reset(from);
        reset(to);
    }

    void close() throws IOException {
        server.close();
        synchronized (pairs) {
            for (Socket[] pair : pairs) {
                reset(pair[0]);
                reset(pair[1]);
            }
        }
    }
}

/** A small HTTP/1.1 server: one thread a connection. A handler that returns null gives no answer. */
final class Server {
    interface Handler {
        Http.Answer handle(Http.Request request) throws InterruptedException;
    }

    private final ServerSocket server = new ServerSocket();
    private final Handler handler;
    private final List<Socket> sockets = new ArrayList<>();

    Server(String host, int port, Handler handler) throws IOException {
        this.handler = handler;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
        Thread thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                synchronized (sockets) {
                    sockets.add(socket);
                }
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                // The server is closed.
            }
        }
    }

    void dropConnections() {
        synchronized (sockets) {
            for (Socket socket : sockets) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
            sockets.clear();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            for (Http.Request request = Http.readRequest(in); request != null; request = Http.readRequest(in)) {
                Http.Answer answer = handler.handle(request);
                if (answer != null) {
                    byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + answer.status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                            + body.length + "\r\n\r\n";
                    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                    bytes.write(head.getBytes(StandardCharsets.US_ASCII));
                    bytes.write(body);
                    socket.getOutputStream().write(bytes.toByteArray());
                }
            }
        } catch (IOException e) {
            // The connection is closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void close() throws IOException {
        server.close();
        dropConnections();
    }
}

/** HTTP messages. */
final class Http {
    static final class Answer {
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }

        @Override
        public String toString() {
            return status == 0 ? "nothing (" + body + ")" : status + " " + body;
        }
    }

    static final class Request {
        final String method;
        final String path;
        final Map<String, String> query = new TreeMap<>();
        final Map<String, String> headers;
        final byte[] body;

        Request(String method, String target, Map<String, String> headers, byte[] body) {
            this.method = method;
            int mark = target.indexOf('?');
            this.path = mark < 0 ? target : target.substring(0, mark);
            this.headers = headers;
            this.body = body;
            for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }

        Map<String, Object> json() {
            return Json.map(Json.parse(new String(body, StandardCharsets.UTF_8)));
        }
    }

    private Http() {}

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static Request readRequest(InputStream in) throws IOException {
        String start = line(in);
        if (start == null || start.isEmpty()) {
            return null;
        }
        String[] parts = start.split(" ");
        Map<String, String> headers = headers(in);
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(parts[0], parts[1], headers, body);
    }

    /** Makes a call on a connection of its own; an answer of status 0 means that there was none. */
    static Answer call(
            String host, int port, String method, String path, Map<String, String> headers, String body, int timeout) {
        try (Socket socket = new Socket()) {
            long endNanos = System.nanoTime() + timeout * 1_000_000L;
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), timeout);
            socket.setTcpNoDelay(true);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(host).append("\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write(head.toString().getBytes(StandardCharsets.US_ASCII));
            message.write(bytes);
            socket.getOutputStream().write(message.toByteArray());
            socket.setSoTimeout((int) Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            String status = line(in);
            if (status == null) {
                return new Answer(0, "closed");
            }
            Map<String, String> answered = headers(in);
            byte[] content = in.readNBytes(Integer.parseInt(answered.getOrDefault("content-length", "0")));
            return new Answer(Integer.parseInt(status.split(" ")[1]), new String(content, StandardCharsets.UTF_8));
        } catch (SocketTimeoutException e) {
            return new Answer(0, "time-out");
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        }
    }
}

/** Reads and writes JSON as maps, lists, texts, numbers and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Map<String, Object> object(Object... pairs) {
        Map<String, Object> object = new java.util.LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            object.put((String) pairs[i], pairs[i + 1]);
        }
        return object;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static long number(Object value) {
        return ((Number) value).longValue();
    }

    static String write(Object value) {
        if (value instanceof String string) {
            StringBuilder out = new StringBuilder("\"");
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < 32) {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            return out.append('"').toString();
        }
        if (value instanceof Map<?, ?> object) {
            List<String> fields = new ArrayList<>();
            object.forEach((name, field) -> fields.add(write(name) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        return String.valueOf(value);
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        switch (next()) {
            case '{' -> {
                Map<String, Object> object = new java.util.LinkedHashMap<>();
                at++;
                while (next() != '}') {
                    String name = string();
                    next();
                    at++;
                    object.put(name, value());
                    if (next() == ',') {
                        at++;
                    }
                }
                at++;
                return object;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                at++;
                while (next() != ']') {
                    list.add(value());
                    if (next() == ',') {
                        at++;
                    }
                }
                at++;
                return list;
            }
            case '"' -> {
                return string();
            }
            default -> {
                int start = at;
                while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
                    at++;
                }
                String word = text.substring(start, at);
                return switch (word) {
                    case "true" -> true;
                    case "false" -> false;
                    case "null" -> null;
                    default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
                };
            }
        }
    }

    private String string() {
        next();
        at++;
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }
}
