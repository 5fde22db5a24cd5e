package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.SubmissionId;

/**
 * Answers a {@link Seal}.
 *
 * @param request the number of the request
 * @param submission the submission
 * @param certain true if the agent will never start another task of the submission and the list is the whole of what it
 *     started; false if it may have started more than it remembers
 * @param tasks the tasks of the submission that the agent started
 */
public record Sealed(long request, SubmissionId submission, boolean certain, List<TaskReport> tasks)
        implements Message {
    /** Copies the list. */
    public Sealed {
        tasks = List.copyOf(tasks);
    }
}
