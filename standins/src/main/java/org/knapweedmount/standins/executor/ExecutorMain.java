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

/** Starts the endpoints of a service, or workers. */
public final class ExecutorMain {
    private static final int START_FAILED_EXIT_CODE = 1;

    private ExecutorMain() {}

    /**
     * Runs until the process is ended; then the endpoints leave and let their running tasks end.
     *
     * @param args the words of the command line
     */
    public static void main(String[] args) {
        ExecutorOptions options = new ExecutorOptions();
        options.parseOrExit("standin executor", args);
        try {
            start(options);
        } catch (IOException e) {
            Logger.error("cannot write the start log: {}", e.getMessage());
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
                    Logger.error("cannot start: {}", error.getMessage());
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
            Logger.info("stopped with no task running");
        } catch (TimeoutException e) {
            Logger.warn("stopped with tasks still running after {} ms", drainMillis);
        }
    }
}
