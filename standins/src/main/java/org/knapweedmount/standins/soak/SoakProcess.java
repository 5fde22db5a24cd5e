package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.tinylog.Logger;

/** One program of the prepared VMs, which is started again and again; thread-safe. */
final class SoakProcess {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String SETTINGS_VARIABLE = "KNAPWEEDMOUNT_NODE_FILE";

    private final String name;
    private final List<String> command;
    private final Path root;
    private final Path settings;
    private final Path log;
    private final Runnable changed;
    private Optional<Process> process = Optional.empty();
    private Optional<Process> ending = Optional.empty();
    private boolean closed;

    SoakProcess(String name, List<String> command, Path root, Path settings, Path log, Runnable changed) {
        this.name = name;
        this.command = List.copyOf(command);
        this.root = root;
        this.settings = settings;
        this.log = log;
        this.changed = changed;
    }

    String name() {
        return name;
    }

    /** Returns the ID of the process, empty if it does not run. */
    synchronized Optional<Long> id() {
        return process.filter(Process::isAlive).map(Process::pid);
    }

    /** Starts the process unless it runs or this program is closed. */
    void start() throws IOException {
        synchronized (this) {
            if (closed || id().isPresent()) {
                return;
            }
            ProcessBuilder builder = new ProcessBuilder(command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put(SETTINGS_VARIABLE, settings.toString());
            process = Optional.of(builder.start());
            Logger.info("{} started as process {}", name, process.get().pid());
        }
        changed.run();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        Optional<Process> killed = end();
        if (killed.isPresent()) {
            killed.get().destroyForcibly().waitFor();
        }
        changed.run();
    }

    /** Sends SIGKILL; the process is not started again. */
    void close() throws InterruptedException {
        synchronized (this) {
            closed = true;
        }
        kill();
    }

    /** Sends SIGTERM, then SIGKILL if the process has not ended in time. */
    void stop(int graceMillis) throws InterruptedException {
        Optional<Process> stopping = end();
        if (stopping.isEmpty()) {
            return;
        }
        stopping.get().destroy();
        awaitEnd(stopping.get(), graceMillis);
        changed.run();
    }

    /** Lets the process run for a part of the time only, by SIGSTOP and SIGCONT in turn; it runs on after that. */
    void throttle(int pauseMillis, int runMillis, int totalMillis) throws IOException, InterruptedException {
        Optional<Long> id = id();
        if (id.isEmpty()) {
            return;
        }
        String loop =
                "i=0; while [ $i -lt $1 ] && kill -STOP $0; do sleep $2; kill -CONT $0; sleep $3; i=$((i + 1)); done";
        new ProcessBuilder(
                        "sh",
                        "-c",
                        loop,
                        Long.toString(id.get()),
                        Integer.toString(totalMillis / (pauseMillis + runMillis)),
                        seconds(pauseMillis),
                        seconds(runMillis))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }

    private static String seconds(int millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }

    private synchronized Optional<Process> current() {
        return process.filter(Process::isAlive);
    }

    /** Returns the process that runs, if any, and notes that it has been told to end. */
    private synchronized Optional<Process> end() {
        ending = current();
        return ending;
    }

    private synchronized Optional<Process> ending() {
        return ending.filter(Process::isAlive);
    }

    /** Continues the process, and starts it again if it has ended or has been told to; such a one gets time to end. */
    void heal(int graceMillis) throws IOException, InterruptedException {
        signal("CONT");
        Optional<Process> told = ending();
        if (told.isPresent()) {
            awaitEnd(told.get(), graceMillis);
        }
        start();
    }

    private void awaitEnd(Process stopping, int graceMillis) throws InterruptedException {
        if (!stopping.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
            Logger.info("{} has not ended within {} ms of SIGTERM", name, graceMillis);
            stopping.destroyForcibly().waitFor();
        }
    }

    /** Sends a signal, such as STOP or CONT, if the process runs. */
    void signal(String signal) throws IOException, InterruptedException {
        Optional<Long> id = id();
        if (id.isPresent()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(id.get()))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        }
    }
}
