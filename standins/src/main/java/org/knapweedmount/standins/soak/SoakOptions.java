package org.knapweedmount.standins.soak;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.knapweedmount.standins.support.Arguments;

/** The options of a soak. */
public final class SoakOptions extends Arguments {
    private static final int MAX_PROCESSES = 200;

    @Parameter(names = "--seed", description = "Seed from which the faults and jobs are drawn")
    private long seed = 1;

    @Parameter(names = "--seconds", description = "How long faults are injected, in s")
    private int seconds = 60;

    @Parameter(names = "--entries", description = "Number of entries")
    private int entries = 3;

    @Parameter(names = "--agents", description = "Number of agents, each with a worker")
    private int agents = 6;

    @Parameter(
            names = "--rate",
            description = "Jobs per second, 0 for 60% of the workers' capacity, beside aimed series for 35%")
    private int rate;

    @Parameter(
            names = "--series",
            description = "Aimed series of faults, beside a fourth of the faults that are drawn alone")
    private FaultSeries series = FaultSeries.NONE;

    @Parameter(names = "--root", description = "Folder of the repository, with the built programs")
    private String root = ".";

    /**
     * Creates the options of a soak.
     *
     * @param seed the seed from which faults and jobs are drawn
     * @param seconds how long faults are injected, in s
     * @param entries the number of entries
     * @param agents the number of agents, each with a worker
     * @param root the folder of the repository, with the built programs
     * @return the options
     */
    public static SoakOptions of(long seed, int seconds, int entries, int agents, String root) {
        SoakOptions options = new SoakOptions();
        options.seed = seed;
        options.seconds = seconds;
        options.entries = entries;
        options.agents = agents;
        options.root = root;
        return options;
    }

    /**
     * Sets the aimed series.
     *
     * @param name its name in lower or upper case
     * @return these options
     */
    public SoakOptions series(String name) {
        series = FaultSeries.valueOf(name);
        return this;
    }

    @Override
    protected void validate() {
        if (seconds < 1 || entries < 1 || agents < 1 || rate < 0 || entries + agents > MAX_PROCESSES) {
            throw new ParameterException(
                    "--seconds, --entries and --agents must be at least 1, --rate not negative, and " + "at most "
                            + MAX_PROCESSES + " processes can be started");
        }
    }

    long seed() {
        return seed;
    }

    int seconds() {
        return seconds;
    }

    int entries() {
        return entries;
    }

    int agents() {
        return agents;
    }

    int rate() {
        return rate;
    }

    FaultSeries series() {
        return series;
    }

    String root() {
        return root;
    }
}
