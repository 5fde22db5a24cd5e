package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import org.knapweedmount.standins.support.HostPort;
import org.tinylog.Logger;

/** One soak, from the start of the programs to their end. */
public final class SoakRun {
    private static final int READY_TIMEOUT_SECONDS = 90;
    private static final int READY_CHECK_MILLIS = 200;
    private static final int CALM_START_MILLIS = 4_000;
    private static final int FINISH_TIMEOUT_SECONDS = 30;
    private static final int OK = 200;

    private final SoakOptions options;
    private final Path directory;
    private final SoakAddresses addresses;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Context context = vertx.getOrCreateContext();

    /**
     * What a soak found.
     *
     * @param directory the folder with the logs of the processes
     * @param summary the numbers of jobs, answers and runs
     * @param completedJobs the number of answers "completed"
     * @param violations the broken rules
     */
    public record Result(Path directory, String summary, int completedJobs, List<Violation> violations) {}

    /**
     * Prepares a soak.
     *
     * @param options its size and seed
     * @throws IOException if the folder for the logs cannot be created or no addresses are free
     */
    public SoakRun(SoakOptions options) throws IOException {
        this.options = options;
        this.addresses = SoakAddresses.find();
        Path root = Path.of(options.root()).toAbsolutePath().normalize();
        Path logs = root.resolve("target/soak");
        Files.createDirectories(logs);
        this.directory = Files.createTempDirectory(logs, "seed-" + options.seed() + "-");
    }

    /**
     * Runs the soak; ends all processes also if it fails.
     *
     * @return what it found
     * @throws IOException if a program cannot be started or is not ready in time
     * @throws InterruptedException if the thread is interrupted
     * @throws ExecutionException if a stand-in cannot listen on its address
     */
    public Result run() throws IOException, InterruptedException, ExecutionException {
        Path root = Path.of(options.root()).toAbsolutePath().normalize();
        SoakPrograms programs = new SoakPrograms(root, directory, addresses, options.entries(), options.agents());
        try {
            return run(programs);
        } finally {
            programs.close();
            vertx.close().await();
        }
    }

    private Result run(SoakPrograms programs) throws IOException, InterruptedException, ExecutionException {
        SoakSite site = onContext(() -> new SoakSite(vertx, options, addresses));
        onContext(site::start).toCompletionStage().toCompletableFuture().get();
        for (SoakProcess process : programs.all()) {
            process.start();
        }
        awaitReady();
        onContext(() -> {
            site.callers().start(site.rate());
            return site;
        });
        TimeUnit.MILLISECONDS.sleep(CALM_START_MILLIS);
        List<Fault> faults = SoakPlan.draw(options);
        FaultInjector injector = new FaultInjector(site, programs, context);
        injector.schedule(faults);
        TimeUnit.SECONDS.sleep(options.seconds());
        injector.close();
        long faultsEndMillis = site.nowMillis();
        TimeUnit.MILLISECONDS.sleep(WorkerLife.MAX_CLOSED_MILLIS);
        onContext(() -> {
            site.checkWorkersAreOpen(faultsEndMillis);
            site.callers().stop();
            return site;
        });
        awaitAnswers(site);
        onContext(() -> {
            site.checkEntriesWereServed();
            return site;
        });
        return onContext(() -> new Result(
                directory,
                faults.size() + " faults, " + site.history().summary(),
                site.history().completedJobs(),
                site.history().violations()));
    }

    private <T> T onContext(Supplier<T> step) throws InterruptedException, ExecutionException {
        return CompletableFuture.supplyAsync(step, task -> context.runOnContext(ignored -> task.run()))
                .get();
    }

    private void awaitReady() throws InterruptedException, IOException {
        HttpClient client = vertx.createHttpClient();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        for (int entry = 1; entry <= options.entries(); entry++) {
            while (!isReady(client, addresses.readiness(entry))) {
                if (System.nanoTime() - endNanos > 0) {
                    throw new IOException("entry-" + entry + " is not ready after " + READY_TIMEOUT_SECONDS
                            + " s; logs in " + directory);
                }
                TimeUnit.MILLISECONDS.sleep(READY_CHECK_MILLIS);
            }
        }
    }

    private static boolean isReady(HttpClient client, HostPort address) throws InterruptedException {
        try {
            return client.request(HttpMethod.GET, address.port(), address.host(), "/api/ready")
                    .compose(request -> request.send())
                    .map(response -> response.statusCode() == OK)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get();
        } catch (ExecutionException e) {
            Logger.debug("{} is not ready: {}", address, e.getMessage());
            return false;
        }
    }

    private void awaitAnswers(SoakSite site) throws InterruptedException, ExecutionException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FINISH_TIMEOUT_SECONDS);
        while (onContext(() -> site.callers().unfinishedJobs()) > 0 && System.nanoTime() - endNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(READY_CHECK_MILLIS);
        }
    }
}
