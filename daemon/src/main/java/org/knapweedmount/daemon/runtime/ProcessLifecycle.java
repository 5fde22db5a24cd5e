package org.knapweedmount.daemon.runtime;

import org.knapweedmount.core.chart.StateChart;
import org.knapweedmount.core.metric.Invariants;
import org.tinylog.Logger;

/** The lifecycle of a process, a state machine defined by the chart {@code process.json}; any thread may use it. */
public final class ProcessLifecycle {
    private static final StateChart<ProcessState, ProcessEvent> CHART =
            StateChart.loadBundled("process.json", ProcessState.class, ProcessEvent.class);

    private final Invariants invariants;
    private volatile ProcessState state = CHART.initial();

    /**
     * Creates the lifecycle of a process that is starting.
     *
     * @param invariants reports events that the chart does not allow in the current state
     */
    public ProcessLifecycle(Invariants invariants) {
        this.invariants = invariants;
    }

    /**
     * Returns the current state.
     *
     * @return the state
     */
    public ProcessState state() {
        return state;
    }

    /**
     * Handles an event and logs a change of state.
     *
     * @param event the event
     * @return true if the state has changed
     */
    public synchronized boolean handle(ProcessEvent event) {
        ProcessState next = CHART.next(state, event, invariants);
        if (next == state) {
            return false;
        }
        state = next;
        Logger.info("{}", next.text());
        return true;
    }
}
