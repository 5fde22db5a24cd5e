package org.knapweedmount.api.message;

import java.util.List;

/**
 * The tasks that an entry has queued and has no lease for; each demand replaces the one before.
 *
 * @param service the service that the tasks are for
 * @param flows the flows with queued tasks, empty if there are none
 */
public record Demand(String service, List<FlowDemand> flows) implements Message {
    /** Copies the list. */
    public Demand {
        flows = List.copyOf(flows);
    }
}
