package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.work.RunRef;

/**
 * Tells an entry, first on a new link, which of its runs the worker holds; any other run has ended or never began.
 *
 * @param runs the runs
 */
public record ActiveRuns(List<RunRef> runs) implements Message {
    /** Copies the list. */
    public ActiveRuns {
        runs = List.copyOf(runs);
    }
}
