package org.knapweedmount.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

/** Starts the daemon as a separate process to test its exit codes. */
@Timeout(120)
class MainTest {
    @TempDir
    private Path directory;

    @Test
    void plannedStopEndsWithCode0() throws Exception {
        Process process = start(settings(0));
        try (BufferedReader output = process.inputReader()) {
            String line = output.readLine();
            while (!line.endsWith(" ready")) {
                line = output.readLine();
            }
            process.toHandle().destroy();

            assertThat(output.lines().reduce("", (first, second) -> second), endsWith("stopped"));
        }
        assertThat(process.waitFor(), is(0));
    }

    @Test
    void invalidSettingsEndWithCode2AndTheirLocation() throws Exception {
        Path file = settings(70_000);
        Process process = start(file);
        assertThat(output(process), containsString(file + ":2: http.port: 70000 is not allowed"));
        assertThat(process.waitFor(), is(2));
    }

    @Test
    void portInUseEndsWithCode1() throws Exception {
        try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Process process = start(settings(used.getLocalPort()));
            assertThat(output(process), containsString("the process failed to start"));
            assertThat(process.waitFor(), is(1));
        }
    }

    private Path settings(int port) throws IOException {
        return Files.writeString(directory.resolve("agent.json"), """
                {"role": "agent", "name": "agent-1", "dataCentre": "rennes",
                 "http": {"host": "127.0.0.1", "port": %d},
                 "platform": {"host": "127.0.0.1", "port": 1}}
                """.formatted(port));
    }

    private static String output(Process process) throws IOException {
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static Process start(Path settings) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(
                        java,
                        "-XX:+UseSerialGC",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        settings.toString())
                .redirectErrorStream(true)
                .start();
    }
}
