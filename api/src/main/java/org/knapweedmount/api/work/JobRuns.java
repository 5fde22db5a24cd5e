package org.knapweedmount.api.work;

import java.util.List;

/**
 * Runs of one job that start together on one worker.
 *
 * @param spec what the job's tasks are to do, passed on as it is
 * @param runs the runs
 */
public record JobRuns(String spec, List<RunRequest> runs) {
    /** Copies the list. */
    public JobRuns {
        runs = List.copyOf(runs);
    }
}
