package org.knapweedmount.core.worker;

import java.util.List;

import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;

/**
 * What a worker lists: the runs that it has, and the ends that have not been acknowledged.
 *
 * @param startMillis the beginning of the worker's life, in ms since 1970
 * @param clockMillis the worker's steady clock when it answered, in ms
 * @param running the runs
 * @param ended the ends in the order of their numbers
 */
public record RunList(long startMillis, long clockMillis, List<Running> running, List<Ended> ended) {
    /**
     * A run that the worker has.
     *
     * @param ref the run
     * @param checkpoint the last saved state, empty if there is none
     * @param percent how much of the work is done
     */
    public record Running(RunRef ref, String checkpoint, int percent) {}

    /**
     * A run that has ended.
     *
     * @param number the number of the end, from 1 up in each life
     * @param ref the run
     * @param ending how it ended
     * @param checkpoint the last saved state, empty if there is none
     */
    public record Ended(long number, RunRef ref, RunOutcome ending, String checkpoint) {}

    /** Copies the lists. */
    public RunList {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
