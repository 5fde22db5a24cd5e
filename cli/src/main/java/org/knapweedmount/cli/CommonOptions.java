package org.knapweedmount.cli;

import java.nio.file.Path;
import java.time.Duration;

import com.beust.jcommander.Parameter;

/** The options common to all commands. */
final class CommonOptions {
    @Parameter(names = "--entry", description = "Address of the entry for callers, HOST:PORT")
    private String entry = "127.0.0.1:8101";

    @Parameter(names = "--operators", description = "Address of the entry for operators, HOST:PORT")
    private String operators = "127.0.0.1:9101";

    @Parameter(names = "--token-file", description = "File with the operator token")
    private Path tokenFile = Path.of("operators.token");

    @Parameter(names = "--timeout-millis", description = "Response timeout, in ms")
    private int timeoutMillis = 60_000;

    @Parameter(names = "--json", description = "Print the response as JSON")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;

    String entry() {
        return entry;
    }

    String operators() {
        return operators;
    }

    Path tokenFile() {
        return tokenFile;
    }

    Duration timeout() {
        return Duration.ofMillis(timeoutMillis);
    }

    boolean json() {
        return json;
    }

    boolean help() {
        return help;
    }
}
