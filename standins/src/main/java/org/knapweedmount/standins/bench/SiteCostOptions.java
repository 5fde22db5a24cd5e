package org.knapweedmount.standins.bench;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.knapweedmount.standins.support.Arguments;

/** The options of the measurement of what a site costs. */
final class SiteCostOptions extends Arguments {
    @Parameter(names = "--entries", description = "Numbers of entries, one for each site")
    private List<Integer> entries = List.of(3, 9, 15, 3, 9);

    @Parameter(names = "--agents", description = "Numbers of agents, one for each site")
    private List<Integer> agents = List.of(11, 54, 80, 54, 11);

    @Parameter(names = "--seconds", description = "How long each site is measured in virtual time, in s")
    private int seconds = 10;

    @Parameter(names = "--load", description = "The load, 1 for 0.71 of the cores of the workers")
    private double load = 1;

    @Override
    protected void validate() {
        if (entries.size() != agents.size() || seconds < 1 || load <= 0) {
            throw new ParameterException(
                    "--entries and --agents must have as many numbers, --seconds and --load must be positive");
        }
    }

    List<Integer> entries() {
        return entries;
    }

    List<Integer> agents() {
        return agents;
    }

    int seconds() {
        return seconds;
    }

    double load() {
        return load;
    }
}
