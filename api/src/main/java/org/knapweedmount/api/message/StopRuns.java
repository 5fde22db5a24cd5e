package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.work.RunRef;

/**
 * Asks an agent to stop runs.
 *
 * @param runs the runs to stop
 */
public record StopRuns(List<RunRef> runs) implements Message {
    /** Copies the list of runs. */
    public StopRuns {
        runs = List.copyOf(runs);
    }
}
