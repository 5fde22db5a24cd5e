package org.knapweedmount.core.entry;

import org.knapweedmount.core.chart.StateChart;

/** The state charts of an entry, loaded once. */
final class EntryCharts {
    static final StateChart<TaskPhase, TaskEvent> TASK =
            StateChart.loadBundled("task.json", TaskPhase.class, TaskEvent.class);
    static final StateChart<SubmissionState, SubmissionEvent> SUBMISSION =
            StateChart.loadBundled("submission.json", SubmissionState.class, SubmissionEvent.class);

    private EntryCharts() {}
}
