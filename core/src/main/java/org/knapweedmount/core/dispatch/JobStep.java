package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Resources;

/**
 * A step of a job: tasks with the same requirements.
 *
 * @param count the number of tasks
 * @param need the resources that each task needs
 * @param estimateMillis the declared run time of each task, in ms
 * @param after the indexes of the steps that have to be done before, from 0 up
 * @param requires the label that a worker must have, empty if any worker is suitable
 * @param affinity the label of the rack that holds the data, empty if there is none
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
    /** Creates a step with a copy of the list. */
    public JobStep {
        after = List.copyOf(after);
    }
}
