package org.knapweedmount.core.explain;

import org.knapweedmount.api.Resources;

/**
 * A worker that a task could run on, with the terms by which it is chosen.
 *
 * @param agent the process name of the worker's agent
 * @param verdict whether a run may be ordered there
 * @param tasks how many tasks of the job would be ordered there now
 * @param reportAgeMillis the age of the report that the terms are from, in ms
 * @param free the estimated free resources
 * @param needed what has to be free: the need of a task, and headroom if its queue has more than its share
 * @param reportedSlowdown the ratio of run times there to the expected ones
 * @param relativeSlowdown the ratio of run times there to those on the median worker, 1 if it is within the error
 * @param nearData whether the worker has the label of the data, or the task has no data
 * @param prompt whether the agent tells this entry of changes at once
 * @param sampled whether the worker is in the sample of the task
 */
public record Candidate(
        String agent,
        CandidateVerdict verdict,
        int tasks,
        long reportAgeMillis,
        Resources free,
        Resources needed,
        double reportedSlowdown,
        double relativeSlowdown,
        boolean nearData,
        boolean prompt,
        boolean sampled) {}
