package org.knapweedmount.api.message;

/**
 * Answers a {@link CancelJob}.
 *
 * @param job the job's ID
 * @param held whether the sender held the job and has ended it
 */
public record CancelReply(String job, boolean held) implements Message {}
