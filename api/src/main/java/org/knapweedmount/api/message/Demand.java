package org.knapweedmount.api.message;

import java.util.List;

/**
 * Reports the tasks that an entry has queued without a lease; each demand replaces the previous one.
 *
 * @param service the name of the service that the tasks are for
 * @param flows the flows with queued tasks, empty if no task is queued
 */
public record Demand(String service, List<FlowDemand> flows) implements Message {
    /** Copies the list of flows. */
    public Demand {
        flows = List.copyOf(flows);
    }
}
