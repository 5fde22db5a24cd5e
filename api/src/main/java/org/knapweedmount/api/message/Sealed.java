package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.SubmissionId;

/**
 * Answers a {@link Seal}.
 *
 * @param request the number of the seal
 * @param submission the submission ID
 * @param certain true if the agent will start no further tasks of the submission and the list contains all tasks that
 *     it started; false if it may have started tasks of which it no longer has a record
 * @param tasks the tasks of the submission that the agent has started
 */
public record Sealed(long request, SubmissionId submission, boolean certain, List<TaskReport> tasks)
        implements Message {
    /** Copies the list of tasks. */
    public Sealed {
        tasks = List.copyOf(tasks);
    }
}
