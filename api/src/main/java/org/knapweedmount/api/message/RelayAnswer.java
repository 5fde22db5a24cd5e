package org.knapweedmount.api.message;

import org.knapweedmount.api.JobAnswer;

/**
 * Answers a {@link RelayRequest}.
 *
 * @param request the number of the relay request
 * @param answer the answer for the caller
 */
public record RelayAnswer(long request, JobAnswer answer) implements Message {}
