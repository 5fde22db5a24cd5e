package org.knapweedmount.api.message;

import org.knapweedmount.api.SubmissionId;

/**
 * Asks an agent to stop the tasks of a submission that still run, because the caller has cancelled it.
 *
 * @param submission the submission
 */
public record CancelTasks(SubmissionId submission) implements Message {}
