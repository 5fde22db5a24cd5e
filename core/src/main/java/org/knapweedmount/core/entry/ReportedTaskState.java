package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.TaskReport;

/** The state of one task according to the reports of the agents, in order of precedence with the highest last. */
enum ReportedTaskState {
    /** No agent has started it. */
    NOT_STARTED,
    /** It has run and failed. */
    FAILED,
    /** It may have run. */
    UNKNOWN,
    /** It is running. */
    RUNNING,
    /** It has run and its complete result is known. */
    COMPLETE;

    static ReportedTaskState of(TaskReport report) {
        return switch (report.state()) {
            case NOT_STARTED -> NOT_STARTED;
            case RUNNING -> RUNNING;
            case FORGOTTEN -> UNKNOWN;
            case FINISHED -> of(report.result());
        };
    }

    private static ReportedTaskState of(Optional<TaskResult> result) {
        if (result.isEmpty()) {
            return UNKNOWN;
        }
        return switch (result.get().outcome()) {
            case COMPLETE -> COMPLETE;
            case FAILED -> FAILED;
            case NOT_RUN -> NOT_STARTED;
            case UNKNOWN -> UNKNOWN;
        };
    }

    ReportedTaskState max(ReportedTaskState other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
