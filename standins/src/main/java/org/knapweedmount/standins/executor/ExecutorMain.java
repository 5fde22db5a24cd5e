package org.knapweedmount.standins.executor;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.tinylog.Logger;

/** Main class of the executor stand-in, which runs the endpoints of a service or workers. */
public final class ExecutorMain {
    private static final int START_FAILED_EXIT_CODE = 1;

    private ExecutorMain() {}

    /**
     * Runs until the process is terminated; then withdraws the endpoints and waits for their running tasks to end.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        ExecutorOptions options = new ExecutorOptions();
        options.parseOrExit("standin executor", args);
        try {
            start(options);
        } catch (IOException e) {
            Logger.error("cannot open the start log: {}", e.getMessage());
            System.exit(START_FAILED_EXIT_CODE);
        }
    }

    private static void start(ExecutorOptions options) throws IOException {
        StartLog startLog = options.startLog().isPresent()
                ? StartLog.open(options.startLog().get())
                : StartLog.none();
        ProcessContext process = new ProcessContext(new StartedTasks(), startLog, taskTimer());
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        List<ExecutorServer> servers = options.endpoints().stream()
                .map(spec -> new ExecutorServer(spec, process))
                .toList();
        Future.all(servers.stream().map(vertx::deployVerticle).toList())
                .onSuccess(started -> drainAtExit(servers, options.drainMillis()))
                .onFailure(error -> {
                    Logger.error("cannot start the endpoints: {}", error.getMessage());
                    System.exit(START_FAILED_EXIT_CODE);
                });
    }

    private static ScheduledExecutorService taskTimer() {
        return Executors.newSingleThreadScheduledExecutor(runnable -> {
            Thread thread = new Thread(runnable, "task-timer");
            thread.setDaemon(true);
            return thread;
        });
    }

    private static void drainAtExit(List<ExecutorServer> servers, int drainMillis) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(servers, drainMillis), "shutdown"));
    }

    private static void drain(List<ExecutorServer> servers, int drainMillis) {
        try {
            Future.all(servers.stream().map(ExecutorServer::drain).toList()).await(drainMillis, TimeUnit.MILLISECONDS);
            Logger.info("drained: no task was running at shutdown");
        } catch (TimeoutException e) {
            Logger.warn("drain timed out: tasks were still running after {} ms", drainMillis);
        }
    }
}
