package org.knapweedmount.core.agent;

import java.util.Optional;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.TaskState;

/** The record of one task that was sent to an endpoint. */
final class TaskRecord {
    /** Memory accounted for a result in addition to its body and media type, in bytes. */
    static final int RESULT_OVERHEAD_BYTES = 100;

    private final int index;
    private TaskState state = TaskState.NOT_STARTED;
    private boolean complete;
    private Optional<TaskResult> result = Optional.empty();

    TaskRecord(int index) {
        this.index = index;
    }

    int index() {
        return index;
    }

    TaskState state() {
        return state;
    }

    boolean running() {
        return state == TaskState.RUNNING;
    }

    /** Returns the result, empty if the task is running, was not run, or its result was not kept. */
    Optional<TaskResult> result() {
        return result;
    }

    int resultBytes() {
        if (state != TaskState.FINISHED) {
            return 0;
        }
        return result.map(TaskRecord::size).orElse(RESULT_OVERHEAD_BYTES);
    }

    static int size(TaskResult result) {
        return RESULT_OVERHEAD_BYTES
                + result.body().size()
                + result.contentType().length();
    }

    void started() {
        state = TaskState.RUNNING;
        result = Optional.empty();
    }

    void notStarted() {
        state = TaskState.NOT_STARTED;
    }

    void finished(Outcome outcome, Optional<TaskResult> kept) {
        state = TaskState.FINISHED;
        complete = outcome == Outcome.COMPLETE;
        result = kept;
    }

    /**
     * Returns whether the task must not be started again.
     *
     * @param repeatable whether the task may be run again after a failure
     */
    boolean mustNotRestart(boolean repeatable) {
        return running() || (state == TaskState.FINISHED && (complete || !repeatable));
    }
}
