import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the scripts have in common: addresses, the programs as processes, calls of callers and the record. */
final class Stage implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final int DRAIN_MILLIS = 2_000;
    static final int CONTACT_MILLIS = 3_000;
    static final int CONFIG_APPLY_MILLIS = 2_000;
    static final int BEAT_MILLIS = 1_500;
    static final String HOST = "nony24.example";
    static final String SERVICE = "cuotas";

    private final long startNanos = System.nanoTime();
    private final BufferedWriter record;
    private final Path folder;
    private final String network;
    private final int port;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<FileOutputStream> openPipes = new ArrayList<>();
    private final String deployFile;

    /** The answer to a call; status 0 stands for none. */
    record Answer(int status, String body) {}

    Stage(Path recordFile) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        record = Files.newBufferedWriter(recordFile);
        folder = Files.createTempDirectory("knapweedmount-review");
        deployFile = Files.readString(Path.of("deploy/system.toml"));
        Random random = new Random();
        network = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        port = freePorts(random);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Ends the script with the result of its check, or as one that could not run. */
    static void exit(Callable<Integer> check) {
        int result = NOT_RUN;
        try {
            result = check.call();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns the first of eight ports that are free on the addresses of this run. */
    private int freePorts(Random random) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = 12_000 + 8 * random.nextInt(2_000);
            boolean free = true;
            for (int offset = 0; offset < 8 && free; offset++) {
                try (ServerSocket socket = new ServerSocket(first + offset, 1, InetAddress.getByName("0.0.0.0"))) {
                    free = socket.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    InetSocketAddress address(int host, int offset) {
        return new InetSocketAddress(network + host, port + offset);
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    InetSocketAddress storeAddress() {
        return address(1, 0);
    }

    InetSocketAddress callers(int entry) {
        return address(10 + entry, 1);
    }

    InetSocketAddress control(int host) {
        return address(host, 3);
    }

    InetSocketAddress worker(int agent) {
        return address(30 + agent, 6);
    }

    /** Starts an entry; its settings are those of the template for a small deployment. */
    Process startEntry(int entry, int entries, InetSocketAddress store) throws IOException {
        ObjectNode settings = settings("edge-" + entry, "entry", 10 + entry, entries, store);
        settings.put("callers", text(callers(entry))).put("readiness", text(address(10 + entry, 2)));
        return start("entry", "edge-" + entry, settings);
    }

    Process startAgent(int agent, int entries, InetSocketAddress store) throws IOException {
        ObjectNode settings = settings("side-" + agent, "agent", 30 + agent, entries, store);
        settings.put("worker", text(worker(agent)));
        return start("agent", "side-" + agent, settings);
    }

    private ObjectNode settings(String name, String role, int host, int entries, InetSocketAddress store) {
        ObjectNode settings = JSON.createObjectNode();
        settings.put("name", name).put("role", role).put("region", "norte").put("dataCentre", "norte-a");
        settings.put("host", network + host).put("announcements", text(control(host)));
        settings.put("linkPort", port + 4).put("metricsPort", port + 5);
        ArrayNode seeds = settings.putArray("seeds");
        for (int entry = 1; entry <= entries; entry++) {
            seeds.add(text(control(10 + entry)));
        }
        return settings.put("store", text(store)).put("stopSeconds", 6);
    }

    private Process start(String role, String name, ObjectNode settings) throws IOException {
        Matcher run = Pattern.compile("^run = \"(java .* " + role + ")\"$", Pattern.MULTILINE).matcher(deployFile);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command for " + role);
        }
        Path file = folder.resolve(name + ".json");
        Files.write(file, bytes(settings));
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("KNAPWEEDMOUNT_NODE_FILE", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name).toFile()));
        Process process = builder.start();
        processes.add(process);
        note("started %s, process %d", name, process.pid());
        return process;
    }

    /** Returns the file that a program's output goes to. */
    Path logFile(String name) {
        return folder.resolve(name + ".log");
    }

    /** Lets a program write its output into a pipe, which a process of its own reads; returns that process. */
    Process readLog(String name) throws IOException, InterruptedException {
        new ProcessBuilder("mkfifo", logFile(name).toString()).start().waitFor();
        Process reader = new ProcessBuilder("cat", logFile(name).toString())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        processes.add(reader);
        // The pipe stays open while the program is restarted.
        openPipes.add(new FileOutputStream(logFile(name).toFile()));
        return reader;
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    ObjectNode config(long version, String... prefixes) {
        ObjectNode config = JSON.createObjectNode().put("version", version);
        ArrayNode routes = config.putArray("routes");
        for (String prefix : prefixes) {
            routes.addObject()
                    .put("name", prefix.replace("/", ""))
                    .put("host", HOST)
                    .put("pathPrefix", prefix)
                    .put("service", SERVICE)
                    .put("priority", 0)
                    .put("maxAttempts", 4)
                    .put("stretch", 1.6)
                    .put("targetLatencyMs", 60)
                    .put("timeoutMs", 30_000);
        }
        config.putObject("services").putObject(SERVICE).put("enforcesCapacity", false);
        config.putObject("limits");
        return config;
    }

    /** Calls a node on a connection of its own. */
    static Answer call(InetSocketAddress to, String method, String path, String body, int deadlineMillis) {
        long endNanos = System.nanoTime() + deadlineMillis * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(to, Math.max(1, deadlineMillis));
            socket.setTcpNoDelay(true);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Deadline-Ms: " + deadlineMillis
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(content);
            socket.getOutputStream().write(request.toByteArray());
            return read(socket, endNanos);
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Submits a job; the spec of its tasks tells the stand-in how long they last and what they use. */
    Answer submit(int entry, int tasks, int cpu, int lastsMillis, int deadlineMillis) {
        return submit(entry, "/lohu930/", newId(), tasks, cpu, lastsMillis, deadlineMillis);
    }

    /** Submits a job to a queue. */
    Answer submit(
            int entry, String prefix, String job, int tasks, int cpu, int lastsMillis, int deadlineMillis) {
        String body = "{\"spec\":\"" + lastsMillis + " " + cpu + "\",\"" + Names.of("field.notStored")
                + "\":true,\"steps\":[{\"count\":" + tasks
                + ",\"cpu\":" + cpu + ",\"memMb\":64,\"estimateMs\":" + lastsMillis + "}]}";
        Answer answer = call(callers(entry), "POST", prefix + job, body, deadlineMillis);
        note("entry %d: POST %s%s: %d %s", entry, prefix, job, answer.status(), answer.body());
        return answer;
    }

    private static Answer read(Socket socket, long endNanos) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        InputStream in = socket.getInputStream();
        byte[] chunk = new byte[4_096];
        while (true) {
            String text = read.toString(StandardCharsets.UTF_8);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd >= 0) {
                Matcher length = Pattern.compile("content-length: *(\\d+)").matcher(text.toLowerCase(Locale.ROOT));
                int expected = length.find() ? Integer.parseInt(length.group(1)) : 0;
                if (read.size() >= headEnd + 4 + expected) {
                    return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(headEnd + 4));
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) {
                return new Answer(0, "no answer");
            }
            socket.setSoTimeout((int) leftMillis);
            int count = in.read(chunk);
            if (count < 0) {
                return new Answer(0, "connection closed");
            }
            read.write(chunk, 0, count);
        }
    }

    static void respond(HttpExchange exchange, int status, ObjectNode answer) throws IOException {
        byte[] body = bytes(answer);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    static byte[] bytes(ObjectNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    static ThreadFactory daemonThreads(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void note(String format, Object... values) {
        try {
            record.write(String.format(Locale.ROOT, "%8.3f ", seconds())
                    + String.format(Locale.ROOT, format, values) + "\n");
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until a condition holds; returns false if it does not within a time. */
    static boolean await(java.util.function.BooleanSupplier condition, int limitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + limitMillis * 1_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }

    /** Kills a process and waits for its end. */
    static void kill(Process process) throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    private void endProcesses() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (FileOutputStream pipe : openPipes) {
            pipe.close();
        }
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
