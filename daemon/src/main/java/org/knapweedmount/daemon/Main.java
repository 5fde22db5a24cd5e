package org.knapweedmount.daemon;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;

import org.knapweedmount.daemon.agent.AgentStarter;
import org.knapweedmount.daemon.entry.EntryStarter;
import org.knapweedmount.daemon.output.ProcessOutput;
import org.knapweedmount.daemon.runtime.RunningProcess;
import org.knapweedmount.daemon.runtime.StartException;
import org.knapweedmount.daemon.settings.AgentSettings;
import org.knapweedmount.daemon.settings.EntrySettings;
import org.knapweedmount.daemon.settings.Settings;
import org.knapweedmount.daemon.settings.SettingsException;
import org.knapweedmount.daemon.settings.SettingsReader;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/**
 * Starts an entry or an agent from a settings file.
 *
 * <p>The exit code is 0 after a planned stop, 2 if the settings are invalid, and 1 after any other failure.
 */
public final class Main {
    private static final int PLANNED_STOP = 0;
    private static final int FAILURE = 1;
    private static final int BAD_SETTINGS = 2;

    private Main() {}

    /**
     * Starts the process.
     *
     * @param arguments the path of the settings file
     */
    public static void main(String[] arguments) {
        ProcessOutput.install();
        Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> startFailed(failure));
        if (arguments.length != 1) {
            System.err.println("usage: knapweedmountd SETTINGS-FILE");
            halt(BAD_SETTINGS);
        }
        try {
            Settings settings = SettingsReader.read(Path.of(arguments[0]));
            Configuration.set("level", settings.logLevel().text());
            serve(settings);
        } catch (SettingsException e) {
            System.err.println("knapweedmountd: " + e.getMessage());
            halt(BAD_SETTINGS);
        } catch (StartException e) {
            startFailed(e);
        }
    }

    private static void startFailed(Throwable failure) {
        Logger.error(failure, "the process failed to start");
        halt(FAILURE);
    }

    private static void serve(Settings settings) throws StartException {
        AtomicReference<RunningProcess> running = new AtomicReference<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(running.get()), "stop"));
        running.set(start(settings));
        Logger.info("ready");
    }

    private static RunningProcess start(Settings settings) throws StartException {
        if (settings instanceof EntrySettings entry) {
            return new EntryStarter().start(entry);
        }
        return new AgentStarter().start((AgentSettings) settings);
    }

    private static void stop(RunningProcess process) {
        try {
            if (process != null) {
                process.stop();
            }
            halt(PLANNED_STOP);
        } catch (InterruptedException | RuntimeException e) {
            Logger.error(e, "the process failed to stop gracefully");
            halt(FAILURE);
        }
    }

    /** Ends the process after a short wait for its output; a normal exit would return the exit code of the signal that requested the stop. */
    private static void halt(int code) {
        ProcessOutput.halt(code);
    }
}
