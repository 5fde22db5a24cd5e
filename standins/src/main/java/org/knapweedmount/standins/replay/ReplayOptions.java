package org.knapweedmount.standins.replay;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import org.knapweedmount.standins.support.Arguments;

/** The command line of {@link ReplayMain}. */
final class ReplayOptions extends Arguments {
    @Parameter(names = "--trace", required = true, description = "Trace that the load tool has written")
    private Path trace;

    @Parameter(names = "--executors", description = "Number of executors")
    private int executors = 11;

    @Parameter(names = "--slots", description = "Slots of each executor")
    private int slots = 8;

    @Parameter(names = "--one-way-micros", description = "Delay between entries and executors, in µs")
    private long oneWayMicros;

    @Parameter(names = "--skip-seconds", description = "How much of the start is left out of the table, in s")
    private double skipSeconds;

    @Parameter(names = "--seed", description = "What the random choices of the policies are drawn from")
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
