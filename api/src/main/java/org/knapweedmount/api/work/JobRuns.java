package org.knapweedmount.api.work;

import java.util.List;

/**
 * Runs of one job that are started together on one worker.
 *
 * @param queue the name of the job's queue, which is the kind of its tasks
 * @param spec the description of what the job's tasks do, passed on unchanged
 * @param runs the runs to start
 */
public record JobRuns(String queue, String spec, List<RunRequest> runs) {
    /** Copies the list of runs. */
    public JobRuns {
        runs = List.copyOf(runs);
    }
}
