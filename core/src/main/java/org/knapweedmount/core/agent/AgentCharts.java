package org.knapweedmount.core.agent;

import org.knapweedmount.core.chart.StateChart;

/** State charts of the agent, loaded once per process. */
final class AgentCharts {
    static final StateChart<EndpointState, EndpointEvent> ENDPOINT =
            StateChart.loadBundled("endpoint.json", EndpointState.class, EndpointEvent.class);
    static final StateChart<LeaseState, LeaseEvent> LEASE =
            StateChart.loadBundled("lease.json", LeaseState.class, LeaseEvent.class);

    private AgentCharts() {}
}
