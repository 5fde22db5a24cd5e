package org.knapweedmount.api.message;

import org.knapweedmount.api.SubmissionId;

/**
 * Asks an agent never to start another task of a submission, and to tell what it started of it.
 *
 * @param request a number that the answer repeats
 * @param submission the submission
 */
public record Seal(long request, SubmissionId submission) implements Message {}
