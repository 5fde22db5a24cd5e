package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.work.JobRuns;

/**
 * Asks an agent to start runs on its worker, and answers an offer.
 *
 * @param number the number of the order among those of the entry to the agent, from 1 up
 * @param timestampNanos the newest stamp that the entry has from the agent; an order with an old stamp starts nothing
 * @param offer the number of the offer that this answers, 0 if it answers none
 * @param jobs the runs to start, empty to decline an offer
 * @param demand what is still queued
 */
public record RunOrder(long number, long timestampNanos, long offer, List<JobRuns> jobs, ResourceDemand demand)
        implements Message {
    /** Copies the list. */
    public RunOrder {
        jobs = List.copyOf(jobs);
    }
}
