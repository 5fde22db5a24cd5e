package org.knapweedmount.api;

import java.util.Objects;

/**
 * The ID of a task.
 *
 * @param submission the submission that the task belongs to
 * @param index the index of the task in its job, from 0
 */
public record TaskId(SubmissionId submission, int index) {
    /**
     * Checks that the index is not negative.
     *
     * @throws IllegalArgumentException if the index is negative
     */
    public TaskId {
        Objects.requireNonNull(submission, "submission");
        if (index < 0) {
            throw new IllegalArgumentException("the task index is negative: " + index);
        }
    }

    @Override
    public String toString() {
        return submission + "#" + index;
    }
}
