package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.work.RunResult;

/**
 * Tells an entry how its runs ended.
 *
 * @param results the ends
 */
public record RunsEnded(List<RunResult> results) implements Message {
    /** Copies the list. */
    public RunsEnded {
        results = List.copyOf(results);
    }
}
