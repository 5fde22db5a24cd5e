package org.knapweedmount.core.explain;

import java.util.List;

/**
 * What an entry would decide about a job now.
 *
 * @param queue the name of the job's queue
 * @param service the service of the queue
 * @param admission the admission with its inputs
 * @param candidates the workers of the service, with the terms of the first task of the job
 * @param queuedTasks how many of the tasks that can start at once would wait for capacity, also if the job is refused
 * @param waitingRequests how many requests wait at the entry before their admission
 */
public record Explanation(
        String queue,
        String service,
        AdmissionTerms admission,
        List<Candidate> candidates,
        int queuedTasks,
        int waitingRequests) {
    /** Creates an explanation with a copy of the list. */
    public Explanation {
        candidates = List.copyOf(candidates);
    }
}
