package org.knapweedmount.core.agent;

import java.util.Optional;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.TaskState;

/** What became of one task that was sent to an endpoint. */
final class TaskRecord {
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

    /** Returns the result, empty if it runs, was not run, or its result was too large to keep. */
    Optional<TaskResult> result() {
        return result;
    }

    int resultBytes() {
        return result.map(TaskRecord::size).orElse(0);
    }

    static int size(TaskResult result) {
        return result.body().size() + result.contentType().length();
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
     * Tells whether another start of it would be a run too many.
     *
     * @param repeatable true if it may run again after a failure
     */
    boolean settled(boolean repeatable) {
        return running() || (state == TaskState.FINISHED && (complete || !repeatable));
    }
}
