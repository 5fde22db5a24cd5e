package org.knapweedmount.api.message;

/**
 * Tells an entry that a caller has cancelled a job: it ends the job if it holds it, and does not run it if it is submitted
 * again. Answered with a {@link CancelReply}; may be repeated.
 *
 * @param job the job's ID
 */
public record CancelJob(String job) implements Message {}
