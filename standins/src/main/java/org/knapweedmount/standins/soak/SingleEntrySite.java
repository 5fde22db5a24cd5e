package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.knapweedmount.standins.support.HostPort;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * An entry and an agent as processes of their own, with stand-ins of the store and of the agent's worker, on loopback
 * addresses. The processes end with this process.
 */
public final class SingleEntrySite {
    /** The host name under which callers address the entry. */
    public static final String HOST = JobKind.HOST;

    /** The path prefix of a queue of short jobs. */
    public static final String PATH_PREFIX = JobKind.RECEIPT.pathPrefix();

    /** The body of a short job. */
    public static final String JOB = "{\"spec\":\"" + new TaskSpec(20, 100).text() + "\",\"bestEffort\":true,"
            + "\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":64,\"estimateMs\":20}]}";

    private static final int STOP_SECONDS = 6;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Context context = vertx.getOrCreateContext();
    private final SoakAddresses addresses = SoakAddresses.find();
    private final ProcessWatchdog watchdog = new ProcessWatchdog();
    private final List<SoakProcess> processes = new ArrayList<>();
    private final Path directory;
    private final SoakProcess entry;
    private final SoakProcess agent;

    /**
     * Starts the site; the processes are started but need not be ready.
     *
     * @param directory the folder for settings and logs
     * @param entryCommand the command of the entry without its role
     * @param entrySettings further settings of the entry
     * @param agentCommand the command of the agent without its role
     * @throws IOException if a program cannot be started or no addresses are free
     * @throws InterruptedException if the thread is interrupted
     * @throws ExecutionException if a stand-in cannot listen on its address
     */
    public SingleEntrySite(
            Path directory, List<String> entryCommand, ObjectNode entrySettings, List<String> agentCommand)
            throws IOException, InterruptedException, ExecutionException {
        this.directory = directory;
        startStandIns();
        ObjectNode ofEntry = settings("entry-1", addresses.entryHost(1))
                .put("callers", addresses.callers(1).toString())
                .put("readiness", addresses.readiness(1).toString());
        ofEntry.setAll(entrySettings);
        entry = start("entry", "entry-1", entryCommand, ofEntry);
        agent = start(
                "agent",
                "agent-1",
                agentCommand,
                settings("agent-1", addresses.agentHost(1))
                        .put("worker", addresses.worker(1).toString()));
    }

    private void startStandIns() throws InterruptedException, ExecutionException {
        onContext(() -> {
            SoakStore store = new SoakStore(vertx, row -> row);
            store.writeConfig(new SoakConfig().next());
            WorkerSite workers = new WorkerSite(new RunHistory());
            VmClock clock = new VmClock(new Random(1));
            SoakWorker worker = worker(workers, "a", clock);
            WorkerPlace place = new WorkerPlace(vertx, addresses.worker(1), worker, worker(workers, "b", clock));
            workers.start(vertx);
            return Future.all(store.listen(addresses.store()), place.listen())
                    .onSuccess(listening -> worker.begin(false));
        });
    }

    private SoakWorker worker(WorkerSite workers, String name, VmClock clock) {
        String host = addresses.agentHost(1);
        SoakWorker worker = new SoakWorker(
                vertx,
                workers,
                addresses.worker(1),
                addresses.announcements(host),
                host.replace('.', '-') + "-" + name,
                clock,
                new Random(1));
        workers.add(worker);
        return worker;
    }

    private <T> T onContext(Supplier<Future<T>> step) throws InterruptedException, ExecutionException {
        Promise<T> done = Promise.promise();
        context.runOnContext(ignored -> step.get().onComplete(done));
        return done.future().toCompletionStage().toCompletableFuture().get();
    }

    private ObjectNode settings(String name, String host) {
        ObjectNode settings = JsonNodeFactory.instance
                .objectNode()
                .put("name", name)
                .put("region", "soak")
                .put("dataCentre", "soak-a")
                .put("host", host)
                .put("announcements", addresses.announcements(host).toString())
                .put("linkPort", addresses.linkPort())
                .put("metricsPort", addresses.metricsPort())
                .put("store", addresses.store().toString())
                .put("stopSeconds", STOP_SECONDS);
        settings.putArray("seeds")
                .add(addresses.announcements(addresses.entryHost(1)).toString());
        return settings;
    }

    private SoakProcess start(String role, String name, List<String> command, ObjectNode settings) throws IOException {
        Path file = directory.resolve(name + ".json");
        Files.write(file, JsonHttp.encode(settings).getBytes());
        List<String> withRole = Stream.concat(command.stream(), Stream.of(role)).toList();
        SoakProcess process = new SoakProcess(
                name, withRole, directory, file, directory.resolve(name + ".log"), this::processesChanged);
        processes.add(process);
        process.start();
        return process;
    }

    private void processesChanged() {
        Set<Long> ids = processes.stream()
                .map(SoakProcess::id)
                .flatMap(Optional::stream)
                .collect(Collectors.toSet());
        try {
            watchdog.update(ids);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the address that callers connect to.
     *
     * @return the address
     */
    public HostPort callers() {
        return addresses.callers(1);
    }

    /**
     * Returns the address at which the entry serves its metrics.
     *
     * @return the address
     */
    public HostPort metrics() {
        return new HostPort(addresses.entryHost(1), addresses.metricsPort());
    }

    /**
     * Returns the addresses of the servers of both processes that are not for callers.
     *
     * @return the addresses
     */
    public List<HostPort> otherServers() {
        String agentHost = addresses.agentHost(1);
        String entryHost = addresses.entryHost(1);
        return List.of(
                addresses.readiness(1),
                addresses.announcements(entryHost),
                addresses.announcements(agentHost),
                metrics(),
                new HostPort(agentHost, addresses.metricsPort()),
                new HostPort(entryHost, addresses.linkPort()),
                new HostPort(agentHost, addresses.linkPort()));
    }

    /**
     * Returns the process ID of the agent.
     *
     * @return the process ID, empty if the agent does not run
     */
    public OptionalLong agentId() {
        return agent.id().map(OptionalLong::of).orElseGet(OptionalLong::empty);
    }

    /**
     * Returns the process ID of the entry.
     *
     * @return the process ID, empty if the entry does not run
     */
    public OptionalLong entryId() {
        return entry.id().map(OptionalLong::of).orElseGet(OptionalLong::empty);
    }

    /**
     * Ends all processes and stand-ins.
     *
     * @throws IOException if the watchdog cannot be told
     * @throws InterruptedException if the thread is interrupted
     */
    public void close() throws IOException, InterruptedException {
        for (SoakProcess process : processes) {
            process.close();
        }
        watchdog.close();
        vertx.close().await();
    }
}
