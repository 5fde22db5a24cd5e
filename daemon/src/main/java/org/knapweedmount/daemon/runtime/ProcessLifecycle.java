package org.knapweedmount.daemon.runtime;

import org.knapweedmount.core.chart.StateChart;
import org.knapweedmount.core.metric.Invariants;
import org.tinylog.Logger;

/** Where a process stands in its life, along the state chart {@code process.json}; any thread may use it. */
public final class ProcessLifecycle {
    private static final StateChart<ProcessState, ProcessEvent> CHART =
            StateChart.loadBundled("process.json", ProcessState.class, ProcessEvent.class);

    private final Invariants invariants;
    private volatile ProcessState state = CHART.initial();

    /**
     * Creates the life of a process that is starting.
     *
     * @param invariants checks of the program itself
     */
    public ProcessLifecycle(Invariants invariants) {
        this.invariants = invariants;
    }

    /**
     * Returns where the process stands.
     *
     * @return the state
     */
    public ProcessState state() {
        return state;
    }

    /**
     * Takes what happened, and logs a change of state.
     *
     * @param event what happened
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
