package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.SubmissionId;

/** The record of the tasks of one submission that the agent started. */
final class SubmissionRecord {
    private static final int INITIAL_TASK_CAPACITY = 1;

    private final SubmissionId id;
    private final boolean complete;
    private final List<TaskRecord> tasks = new ArrayList<>(INITIAL_TASK_CAPACITY);

    SubmissionRecord(SubmissionId id, boolean complete) {
        this.id = id;
        this.complete = complete;
    }

    SubmissionId id() {
        return id;
    }

    /** Returns whether no record of a started task of the submission has been discarded. */
    boolean complete() {
        return complete;
    }

    List<TaskRecord> tasks() {
        return tasks;
    }

    Optional<TaskRecord> find(int index) {
        for (TaskRecord task : tasks) {
            if (task.index() == index) {
                return Optional.of(task);
            }
        }
        return Optional.empty();
    }

    TaskRecord findOrAdd(int index) {
        return find(index).orElseGet(() -> add(index));
    }

    private TaskRecord add(int index) {
        TaskRecord task = new TaskRecord(index);
        tasks.add(task);
        return task;
    }

    boolean running() {
        for (TaskRecord task : tasks) {
            if (task.running()) {
                return true;
            }
        }
        return false;
    }

    int resultBytes() {
        int bytes = 0;
        for (TaskRecord task : tasks) {
            bytes += task.resultBytes();
        }
        return bytes;
    }
}
