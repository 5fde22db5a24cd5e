package org.knapweedmount.standins.replay;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import org.knapweedmount.standins.support.Arguments;

/** The command-line options of {@link ReplayMain}. */
final class ReplayOptions extends Arguments {
    @Parameter(names = "--trace", required = true, description = "Trace file written by the load generator")
    private Path trace;

    @Parameter(names = "--executors", description = "Number of executors")
    private int executors = 11;

    @Parameter(names = "--slots", description = "Number of slots of each executor")
    private int slots = 8;

    @Parameter(names = "--one-way-micros", description = "One-way delay between entries and executors, in µs")
    private long oneWayMicros;

    @Parameter(names = "--skip-seconds", description = "Initial time excluded from the table, in s")
    private double skipSeconds;

    @Parameter(names = "--seed", description = "Seed of the random choices of the policies")
    private long seed = 1;

    Path trace() {
        return trace;
    }

    Fleet fleet() {
        return new Fleet(executors, slots, oneWayMicros);
    }

    long skipMicros() {
        return Math.round(skipSeconds * 1_000_000);
    }

    long seed() {
        return seed;
    }
}
