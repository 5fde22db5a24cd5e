package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.work.RunResult;

/**
 * Reports to an entry how its runs ended.
 *
 * @param results the results of the runs
 */
public record RunsEnded(List<RunResult> results) implements Message {
    /** Copies the list of results. */
    public RunsEnded {
        results = List.copyOf(results);
    }
}
