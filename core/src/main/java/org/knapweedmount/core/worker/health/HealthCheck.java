package org.knapweedmount.core.worker.health;

/** The result of a health check, which is what a worker says of itself. */
public enum HealthCheck {
    /** The worker says that it is healthy. */
    HEALTHY,
    /** The worker says that it is unhealthy. */
    UNHEALTHY,
    /** No response arrived in time, which says nothing about runs. */
    UNANSWERED,
    /** The worker has no health check at the path, or gave a response that is not specified. */
    UNSUPPORTED
}
