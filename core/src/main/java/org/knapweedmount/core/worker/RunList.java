package org.knapweedmount.core.worker;

import java.util.List;

import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;

/**
 * A worker's list of its runs and of the run ends that have not been acknowledged.
 *
 * @param startMillis when the worker's incarnation started, in ms since 1970
 * @param clockMillis the worker's monotonic clock when it answered, in ms
 * @param running the runs
 * @param ended the run ends in the order of their numbers
 */
public record RunList(long startMillis, long clockMillis, List<Running> running, List<Ended> ended) {
    /**
     * A run that is active on the worker.
     *
     * @param ref the run
     * @param checkpoint the last checkpoint, empty if there is none
     * @param percent the completed part of the work, in percent
     */
    public record Running(RunRef ref, String checkpoint, int percent) {}

    /**
     * A run that has ended.
     *
     * @param number the number of the run end, from 1 up in each incarnation
     * @param ref the run
     * @param outcome how the run ended
     * @param checkpoint the last checkpoint, empty if there is none
     */
    public record Ended(long number, RunRef ref, RunOutcome outcome, String checkpoint) {}

    /** Creates a run list with copies of the lists. */
    public RunList {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
