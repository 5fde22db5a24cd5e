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

/** The command-line options of the load generator. */
final class LoadOptions extends Arguments {
    private static final double MICROS_PER_SECOND = 1_000_000;

    @Parameter(
            names = "--entries",
            converter = HostPort.Converter.class,
            description = "Entries as HOST:PORT,HOST:PORT, to which requests are sent round-robin")
    private List<HostPort> entries = new ArrayList<>();

    @Parameter(names = "--rate", description = "Requests per second of a flow with share 1")
    private double ratePerSecond = 10;

    @Parameter(names = "--seconds", description = "Duration of the load, in s")
    private double seconds = 10;

    @Parameter(names = "--warm-up-seconds", description = "Initial time without recording, in s")
    private double warmUpSeconds;

    @Parameter(names = "--mix", description = "File with the flows, in JSON with comments")
    private Path mix;

    @Parameter(
            names = "--flow",
            splitter = NoSplitter.class,
            description = "NAME:SERVICE:KIND:TEAM:SHARE:DISTRIBUTION, where DISTRIBUTION is fixed(MS), exponential(MS)"
                    + " or lognormal(MEDIAN-MS,SIGMA,LONG-SHARE,LONG-MS); may be repeated")
    private List<String> flowTexts = new ArrayList<>();

    @Parameter(names = "--jobs", description = "Number of tasks in each job of --flow, 1 for single requests")
    private int jobTasks = 1;

    @Parameter(
            names = "--declared-sigma",
            description = "Error of declared run times of --flow, as a lognormal sigma; none by default")
    private Double declaredSigma;

    @Parameter(names = "--resubmit", description = "Fraction of requests that are resubmitted through another entry")
    private double resubmitShare;

    @Parameter(names = "--seed", description = "Seed of the random arrivals and run times")
    private long seed = 1;

    @Parameter(names = "--ideal-overhead-micros", description = "Ideal response time minus run time, in µs")
    private int idealOverheadMicros;

    @Parameter(names = "--timeout-millis", description = "Timeout of each request, in ms")
    private int timeoutMillis = 60_000;

    @Parameter(names = "--connections", description = "Maximum number of connections to each entry")
    private int connections = 1_000;

    @Parameter(
            names = "--max-in-flight",
            description = "Maximum number of requests in flight; further requests are counted but not sent")
    private int maxInFlight = 10_000;

    @Parameter(names = "--await-millis", description = "Longest wait for responses after the last request, in ms")
    private int awaitMillis = 60_000;

    @Parameter(names = "--json", description = "File to which the report is written as JSON")
    private Path json;

    @Parameter(names = "--trace", description = "File to which a line of CSV is written for each request")
    private Path trace;

    private List<LoadFlow> flows = List.of();

    /** Does not split values at commas, since distributions contain commas. */
    static final class NoSplitter implements IParameterSplitter {
        @Override
        public List<String> split(String value) {
            return List.of(value);
        }
    }

    @Override
    protected void validate() {
        if (entries.isEmpty()) {
            throw new ParameterException("--entries is required, but no entry was given");
        }
        if (ratePerSecond <= 0 || seconds <= 0 || jobTasks < 1 || connections < 1 || timeoutMillis < 1) {
            throw new ParameterException("--rate, --seconds, --jobs, --connections, --timeout-millis must be positive");
        }
        if (maxInFlight < 1 || awaitMillis < 1) {
            throw new ParameterException("--max-in-flight and --await-millis must be positive");
        }
        if (warmUpSeconds < 0 || idealOverheadMicros < 0 || resubmitShare < 0 || resubmitShare > 1) {
            throw new ParameterException("--warm-up-seconds and --ideal-overhead-micros must not be negative,"
                    + " and --resubmit must be from 0 to 1");
        }
        try {
            flows = readFlows();
        } catch (ParseException e) {
            throw new ParameterException(e.getMessage(), e);
        }
        if (flows.isEmpty()) {
            throw new ParameterException("--mix or --flow is required, but no flow was given");
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
