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

/** The command-line options of the executor stand-in. */
public final class ExecutorOptions extends Arguments {
    @Parameter(names = "--id", required = true, description = "ID of the endpoint, or prefix of the IDs of several")
    private String id;

    @Parameter(names = "--count", description = "Number of endpoints; if above 1, their IDs are ID-1, ID-2 and so on")
    private int count = 1;

    @Parameter(names = "--service", required = true, description = "Name of the service that the endpoints run")
    private String service;

    @Parameter(names = "--host", description = "IP address to listen on")
    private String host = "127.0.0.1";

    @Parameter(names = "--port", description = "TCP port of the first endpoint, 0 to use any free ports")
    private int port;

    @Parameter(names = "--slots", description = "Number of slots that each endpoint announces")
    private int slots = 8;

    @Parameter(names = "--connections", description = "Number of connections that each endpoint announces")
    private int connections = 64;

    @Parameter(
            names = {"--agents", "--agent"},
            converter = HostPort.Converter.class,
            description = "Agents as HOST:PORT,HOST:PORT, assigned to the endpoints round-robin")
    private List<HostPort> agents = new ArrayList<>();

    @Parameter(names = "--ttl-millis", description = "Time after which an announcement expires unless renewed, in ms")
    private int ttlMillis = 3_000;

    @Parameter(names = "--extra-delay-micros", description = "Time added to the run time of each task, in µs")
    private int extraDelayMicros;

    @Parameter(names = "--mode", description = "Initial fault mode: normal, fail-all, black-hole or hang")
    private String modeText = FaultMode.NORMAL.text();

    @Parameter(
            names = "--resources",
            converter = ResourcesParser.class,
            description = "Capacity of each worker: MILLICORES,MEGABYTES,ACCELERATORS")
    private Resources resources;

    @Parameter(names = "--usage-lag-millis", description = "Delay of usage reports after a task start, in ms")
    private int usageLagMillis = 2_000;

    @Parameter(names = "--start-log", description = "File to which a line is appended for each task start")
    private Path startLog;

    @Parameter(names = "--drain-millis", description = "Longest time to wait for running tasks at shutdown, in ms")
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
            throw new ParameterException("--agents is required, but no agent was given");
        }
        if (count < 1 || slots < 1 || connections < 1 || ttlMillis < 1) {
            throw new ParameterException("--count, --slots, --connections and --ttl-millis must be at least 1");
        }
        if (extraDelayMicros < 0 || usageLagMillis < 1 || drainMillis < 0) {
            throw new ParameterException("--extra-delay-micros and --drain-millis must not be negative,"
                    + " and --usage-lag-millis must be at least 1");
        }
    }

    /**
     * Returns the configurations of the endpoints to start.
     *
     * @return one configuration for each endpoint
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
     * Returns the file to which a line is appended for each task start.
     *
     * @return the file, empty if no start log is written
     */
    public Optional<Path> startLog() {
        return Optional.ofNullable(startLog);
    }

    /**
     * Returns the longest time to wait for running tasks at shutdown.
     *
     * @return the time, in ms
     */
    public int drainMillis() {
        return drainMillis;
    }
}
