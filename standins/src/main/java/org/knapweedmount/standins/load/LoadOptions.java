package org.knapweedmount.standins.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.converters.IParameterSplitter;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.standins.support.Arguments;
import org.knapweedmount.standins.support.HostPort;

/** The options of the load generator's command line. */
final class LoadOptions extends Arguments {
    private static final double MICROS_PER_SECOND = 1_000_000;

    @Parameter(
            names = "--entries",
            converter = HostPort.Converter.class,
            description = "Entries, HOST:PORT,HOST:PORT; they take the requests in turn")
    private List<HostPort> entries = new ArrayList<>();

    @Parameter(names = "--rate", description = "Requests a second of a flow with the share 1")
    private double ratePerSecond = 10;

    @Parameter(names = "--seconds", description = "How long requests are sent, in s")
    private double seconds = 10;

    @Parameter(names = "--warm-up-seconds", description = "How long the first requests are not recorded, in s")
    private double warmUpSeconds;

    @Parameter(names = "--mix", description = "File with the flows, JSON with comments")
    private Path mix;

    @Parameter(
            names = "--flow",
            splitter = NoSplitter.class,
            description = "NAME:SERVICE:KIND:TEAM:SHARE:DISTRIBUTION, where DISTRIBUTION is fixed(MS), exponential(MS)"
                    + " or lognormal(MEDIAN-MS,SIGMA,LONG-SHARE,LONG-MS); repeatable")
    private List<String> flowTexts = new ArrayList<>();

    @Parameter(names = "--jobs", description = "Tasks of each job of the flows given by --flow, 1 for single requests")
    private int jobTasks = 1;

    @Parameter(
            names = "--declared-sigma",
            description = "How far the declared times of --flow are off; none by default")
    private Double declaredSigma;

    @Parameter(names = "--resubmit", description = "Share of requests that are sent again through another entry")
    private double resubmitShare;

    @Parameter(names = "--seed", description = "What the arrivals and run times are drawn from")
    private long seed = 1;

    @Parameter(names = "--ideal-overhead-micros", description = "Added to the run time for the ideal, in µs")
    private int idealOverheadMicros;

    @Parameter(names = "--timeout-millis", description = "How long an answer is awaited, in ms")
    private int timeoutMillis = 60_000;

    @Parameter(names = "--connections", description = "Largest number of connections to each entry")
    private int connections = 1_000;

    @Parameter(
            names = "--max-in-flight",
            description = "Number of requests in flight from which on further ones are not sent but counted")
    private int maxInFlight = 10_000;

    @Parameter(names = "--await-millis", description = "How long answers are awaited after the last request, in ms")
    private int awaitMillis = 60_000;

    @Parameter(names = "--json", description = "File for the report in JSON")
    private Path json;

    @Parameter(names = "--trace", description = "File for a line of CSV for each request")
    private Path trace;

    private List<LoadFlow> flows = List.of();

    /** Keeps the commas of a distribution. */
    static final class NoSplitter implements IParameterSplitter {
        @Override
        public List<String> split(String value) {
            return List.of(value);
        }
    }

    @Override
    protected void validate() {
        if (entries.isEmpty()) {
            throw new ParameterException("--entries is required");
        }
        if (ratePerSecond <= 0 || seconds <= 0 || jobTasks < 1 || connections < 1 || timeoutMillis < 1) {
            throw new ParameterException("--rate, --seconds, --jobs, --connections and --timeout-millis are positive");
        }
        if (maxInFlight < 1 || awaitMillis < 1) {
            throw new ParameterException("--max-in-flight and --await-millis are positive");
        }
        if (warmUpSeconds < 0 || idealOverheadMicros < 0 || resubmitShare < 0 || resubmitShare > 1) {
            throw new ParameterException("--warm-up-seconds, --ideal-overhead-micros or --resubmit is out of range");
        }
        try {
            flows = readFlows();
        } catch (ParseException e) {
            throw new ParameterException(e.getMessage(), e);
        }
        if (flows.isEmpty()) {
            throw new ParameterException("--mix or --flow is required");
        }
    }

    private List<LoadFlow> readFlows() throws ParseException {
        List<LoadFlow> read = new ArrayList<>(mix == null ? List.of() : MixReader.read(mix));
        OptionalDouble sigma = declaredSigma == null ? OptionalDouble.empty() : OptionalDouble.of(declaredSigma);
        for (String text : flowTexts) {
            read.add(LoadFlow.parse(text, jobTasks, sigma));
        }
        return read;
    }

    LoadSettings settings() {
        return new LoadSettings(
                entries,
                flows,
                ratePerSecond,
                seconds,
                (long) (warmUpSeconds * MICROS_PER_SECOND),
                resubmitShare,
                seed,
                idealOverheadMicros,
                timeoutMillis,
                connections,
                maxInFlight,
                awaitMillis);
    }

    Optional<Path> json() {
        return Optional.ofNullable(json);
    }

    Optional<Path> trace() {
        return Optional.ofNullable(trace);
    }
}
