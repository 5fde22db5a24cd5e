package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Resources;

/**
 * Tasks of a job that are alike.
 *
 * @param count the number of tasks
 * @param need the room that each takes
 * @param estimateMillis how long each is said to run, in ms
 * @param after the numbers of the steps that have to be done before, from 0 up
 * @param requires the label that a worker must have, empty if any worker will do
 * @param affinity the rack that has the data, empty if there is none
 * @param maxPerWorker how many of the tasks may run on one worker at a time
 */
public record JobStep(
        int count,
        Resources need,
        int estimateMillis,
        List<Integer> after,
        Optional<String> requires,
        Optional<String> affinity,
        int maxPerWorker) {
    /** Copies the list. */
    public JobStep {
        after = List.copyOf(after);
    }
}
