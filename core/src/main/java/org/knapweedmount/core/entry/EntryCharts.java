package org.knapweedmount.core.entry;

import org.knapweedmount.core.chart.ChartException;
import org.knapweedmount.core.chart.StateChart;

/** The state charts of an entry, loaded once. */
final class EntryCharts {
    static final StateChart<TaskPhase, TaskEvent> TASK = load("task.json", TaskPhase.class, TaskEvent.class);
    static final StateChart<SubmissionState, SubmissionEvent> SUBMISSION =
            load("submission.json", SubmissionState.class, SubmissionEvent.class);

    private EntryCharts() {}

    private static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String file, Class<S> states, Class<E> events) {
        try {
            return StateChart.load(file, states, events);
        } catch (ChartException e) {
            throw new IllegalStateException("a packaged state chart is broken", e);
        }
    }
}
