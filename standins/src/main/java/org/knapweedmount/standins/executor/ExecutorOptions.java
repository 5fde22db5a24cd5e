package org.knapweedmount.standins.executor;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;
import org.knapweedmount.standins.support.Arguments;
import org.knapweedmount.standins.support.HostPort;

/** The options of the executor's command line. */
public final class ExecutorOptions extends Arguments {
    @Parameter(names = "--id", required = true, description = "Id of the endpoint, or what the ids begin with")
    private String id;

    @Parameter(names = "--count", description = "Number of endpoints; if above 1, they are called ID-1, ID-2 and so on")
    private int count = 1;

    @Parameter(names = "--service", required = true, description = "Service that the endpoints run")
    private String service;

    @Parameter(names = "--host", description = "IP number to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", description = "First TCP port, 0 for any free ones")
    private int port;

    @Parameter(names = "--slots", description = "Slots that each endpoint announces")
    private int slots = 8;

    @Parameter(names = "--connections", description = "Connections that each endpoint announces")
    private int connections = 64;

    @Parameter(
            names = {"--agents", "--agent"},
            converter = HostPort.Converter.class,
            description = "Agents, HOST:PORT,HOST:PORT; the endpoints take them in turn")
    private List<HostPort> agents = new ArrayList<>();

    @Parameter(names = "--ttl-millis", description = "How long an announcement holds, in ms")
    private int ttlMillis = 3_000;

    @Parameter(names = "--extra-delay-micros", description = "Added to each run time, in µs")
    private int extraDelayMicros;

    @Parameter(names = "--mode", description = "normal, fail-all, black-hole or hang")
    private String modeText = FaultMode.NORMAL.text();

    @Parameter(
            names = "--resources",
            converter = ResourcesParser.class,
            description = "What each worker has: MILLICORES,MEGABYTES,ACCELERATORS")
    private Resources resources;

    @Parameter(names = "--usage-lag-millis", description = "Time from a start to the report of its use, in ms")
    private int usageLagMillis = 2_000;

    @Parameter(names = "--start-log", description = "File that gets a line for each start")
    private Path startLog;

    @Parameter(names = "--drain-millis", description = "Longest wait for running tasks at the end, in ms")
    private int drainMillis = 30_000;

    private FaultMode mode = FaultMode.NORMAL;

    @Override
    protected void validate() {
        try {
            mode = FaultMode.parse(modeText);
        } catch (ParseException e) {
            throw new ParameterException(e.getMessage(), e);
        }
        if (agents.isEmpty()) {
            throw new ParameterException("--agents is required");
        }
        if (count < 1 || slots < 1 || connections < 1 || ttlMillis < 1) {
            throw new ParameterException("--count, --slots, --connections and --ttl-millis are at least 1");
        }
        if (extraDelayMicros < 0 || usageLagMillis < 1 || drainMillis < 0) {
            throw new ParameterException("delays are not negative and --usage-lag-millis is at least 1");
        }
    }

    /**
     * Lists the endpoints to start.
     *
     * @return how each is set up
     */
    public List<EndpointSpec> endpoints() {
        return IntStream.range(0, count).mapToObj(this::endpoint).toList();
    }

    private EndpointSpec endpoint(int index) {
        return new EndpointSpec(
                count == 1 ? id : id + "-" + (index + 1),
                port == 0 ? 0 : port + index,
                new Announcement(service, host, port, slots, connections, ttlMillis, resources),
                agents.get(index % agents.size()),
                extraDelayMicros,
                usageLagMillis,
                ExecutorControl.of(mode));
    }

    /**
     * Returns the file that gets a line for each start.
     *
     * @return the file, empty if starts are not written
     */
    public Optional<Path> startLog() {
        return Optional.ofNullable(startLog);
    }

    /**
     * Returns the longest wait for running tasks at the end.
     *
     * @return the time, in ms
     */
    public int drainMillis() {
        return drainMillis;
    }
}
