package org.knapweedmount.api.message;

import org.knapweedmount.api.SubmissionId;

/**
 * Seals a submission at an agent: the agent starts no further tasks of it and reports the tasks that it has started.
 *
 * @param request a number that the answer repeats
 * @param submission the submission ID
 */
public record Seal(long request, SubmissionId submission) implements Message {}
