package org.knapweedmount.api.work;

import java.util.Objects;

/**
 * A queue to which callers submit jobs.
 *
 * <p>The target response time of a job is {@code stretch} times the length of its critical path, plus
 * {@code targetLatencyMillis}.
 *
 * @param name the queue's name
 * @param host the host name in requests to the queue
 * @param pathPrefix the prefix of the paths of the queue's jobs
 * @param service the name of the service whose workers run the tasks
 * @param priority the priority, where 0 is the highest
 * @param maxAttempts the number of failures of a task after which its job fails
 * @param stretch the factor of the critical path in the target response time
 * @param targetLatencyMillis the constant part of the target response time, in ms
 * @param timeoutMillis the time after which a caller receives an answer in any case, in ms
 * @param advised true if only workers that the advice service grants may run the tasks
 */
public record WorkQueue(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxAttempts,
        double stretch,
        int targetLatencyMillis,
        int timeoutMillis,
        boolean advised) {
    /** Checks that no component is null. */
    public WorkQueue {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(service, "service");
    }
}
