package org.knapweedmount.standins.load;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.knapweedmount.standins.support.JsonHttp;
import org.tinylog.Logger;

/** Main class of the load generator, which runs a load and prints its report. */
public final class LoadMain {
    private static final int IO_ERROR_EXIT_CODE = 1;
    private static final int VIOLATION_EXIT_CODE = 3;

    private LoadMain() {}

    /**
     * Runs a load to its end. The exit code is 3 if a response was wrong or two responses contradict each other.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        LoadOptions options = new LoadOptions();
        options.parseOrExit("standin load", args);
        try {
            LoadReport report = run(options);
            System.out.print(report.table());
            if (options.json().isPresent()) {
                Files.write(options.json().get(), JsonHttp.encode(report).getBytes());
            }
            System.exit(report.hasViolations() ? VIOLATION_EXIT_CODE : 0);
        } catch (IOException e) {
            Logger.error("cannot write the report or the trace: {}", e.getMessage());
            System.exit(IO_ERROR_EXIT_CODE);
        }
    }

    private static LoadReport run(LoadOptions options) throws IOException {
        LoadSettings settings = options.settings();
        try (TraceLog trace =
                options.trace().isPresent() ? TraceLog.open(options.trace().get()) : TraceLog.none()) {
            return LoadReport.of(settings, run(settings, trace));
        }
    }

    private static List<FlowSummary> run(LoadSettings settings, TraceLog trace) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        CompletableFuture<List<FlowSummary>> result = new CompletableFuture<>();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(ignored -> {
            LoadRunner runner = new LoadRunner(vertx, settings, trace);
            runner.prepare()
                    .onComplete(prepared -> new ArrivalThread(
                                    settings.plan(),
                                    runner,
                                    context,
                                    sent -> sent.awaitResponses().onSuccess(done -> result.complete(sent.summaries())))
                            .start());
        });
        return result.join();
    }
}
