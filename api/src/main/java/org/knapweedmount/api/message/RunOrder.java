package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.work.JobRuns;

/**
 * Orders an agent to start runs on its worker, or answers an offer.
 *
 * @param number the number of the order among those of the entry to the agent, from 1 up
 * @param timestampNanos the newest timestamp that the entry has received from the agent, in ns; an order with an old
 *     timestamp, by the worker's clock, starts no runs
 * @param offer the number of the offer that this order answers, 0 if it answers none
 * @param jobs the runs to start, empty to decline an offer
 * @param demand the demand of the tasks that are still queued
 */
public record RunOrder(long number, long timestampNanos, long offer, List<JobRuns> jobs, ResourceDemand demand)
        implements Message {
    /** Copies the list of jobs. */
    public RunOrder {
        jobs = List.copyOf(jobs);
    }
}
