package org.knapweedmount.standins.platform;

import com.beust.jcommander.Parameter;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.knapweedmount.standins.support.Arguments;
import org.tinylog.Logger;

/** Main class of the platform stand-in. */
public final class PlatformMain {
    private static final int START_FAILED_EXIT_CODE = 1;

    private PlatformMain() {}

    /** The command-line options. */
    static final class Options extends Arguments {
        @Parameter(names = "--host", description = "IP address to listen on")
        private String host = "127.0.0.1";

        @Parameter(names = "--port", description = "TCP port to listen on, 0 to use any free port")
        private int port = 7000;
    }

    /**
     * Runs until the process is terminated.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        Options options = new Options();
        options.parseOrExit("standin platform", args);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        PlatformServer server = new PlatformServer(options.host, options.port);
        vertx.deployVerticle(server)
                .onSuccess(id -> Logger.info("ready on port {}", server.port()))
                .onFailure(error -> {
                    Logger.error("cannot listen on port {}: {}", options.port, error.getMessage());
                    System.exit(START_FAILED_EXIT_CODE);
                });
    }
}
