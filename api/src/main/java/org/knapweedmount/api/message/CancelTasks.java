package org.knapweedmount.api.message;

import org.knapweedmount.api.SubmissionId;

/**
 * Asks an agent to stop the running tasks of a submission, because the caller has cancelled it.
 *
 * @param submission the ID of the submission
 */
public record CancelTasks(SubmissionId submission) implements Message {}
