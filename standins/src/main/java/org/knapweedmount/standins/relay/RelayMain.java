package org.knapweedmount.standins.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.knapweedmount.standins.support.Arguments;
import org.tinylog.Logger;

/** Main class of the relay stand-in, which relays TCP connections between processes. */
public final class RelayMain {
    private static final int START_FAILED_EXIT_CODE = 1;

    private RelayMain() {}

    /** The command-line options. */
    static final class Options extends Arguments {
        @Parameter(
                names = "--relay",
                converter = RelayRoute.Converter.class,
                description = "Port to listen on and address to connect to, as PORT=HOST:PORT; may be repeated")
        private List<RelayRoute> routes = new ArrayList<>();

        @Parameter(names = "--delay-micros", description = "Delay in each direction, in µs")
        private int delayMicros;

        @Parameter(names = "--control-port", description = "TCP port of the control server, 0 to use any free port")
        private int controlPort;

        @Override
        protected void validate() {
            if (routes.isEmpty() || delayMicros < 0) {
                throw new ParameterException("--relay is required and --delay-micros must not be negative");
            }
        }
    }

    /**
     * Runs until the process is terminated.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        Options options = new Options();
        options.parseOrExit("standin relay", args);
        try {
            start(options);
        } catch (IOException e) {
            Logger.error("cannot start a relay: {}", e.getMessage());
            System.exit(START_FAILED_EXIT_CODE);
        }
    }

    private static void start(Options options) throws IOException {
        List<Relay> relays = new ArrayList<>();
        for (RelayRoute route : options.routes) {
            relays.add(Relay.start(route, RelayConditions.passing(options.delayMicros)));
        }
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        RelayControl control = new RelayControl("127.0.0.1", options.controlPort, relays);
        vertx.deployVerticle(control)
                .onSuccess(id -> Logger.info("ready, control server on port {}", control.port()))
                .onFailure(error -> {
                    Logger.error("cannot start the control server: {}", error.getMessage());
                    System.exit(START_FAILED_EXIT_CODE);
                });
    }
}
