package org.knapweedmount.core.agent;

import org.knapweedmount.core.chart.ChartException;
import org.knapweedmount.core.chart.StateChart;

/** The state charts of an agent, loaded once. */
final class AgentCharts {
    static final StateChart<EndpointState, EndpointEvent> ENDPOINT =
            load("endpoint.json", EndpointState.class, EndpointEvent.class);
    static final StateChart<LeaseState, LeaseEvent> LEASE = load("lease.json", LeaseState.class, LeaseEvent.class);

    private AgentCharts() {}

    private static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String file, Class<S> states, Class<E> events) {
        try {
            return StateChart.load(file, states, events);
        } catch (ChartException e) {
            throw new IllegalStateException("a packaged state chart is broken", e);
        }
    }
}
