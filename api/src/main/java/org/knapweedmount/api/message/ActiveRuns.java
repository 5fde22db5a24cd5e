package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.work.RunRef;

/**
 * Reports to an entry which of its runs are active on the worker; any other run has ended or never started.
 *
 * <p>Sent on each new link, after the results that could not be delivered before and ahead of all other messages about
 * runs.
 *
 * @param runs the active runs
 */
public record ActiveRuns(List<RunRef> runs) implements Message {
    /** Copies the list of runs. */
    public ActiveRuns {
        runs = List.copyOf(runs);
    }
}
