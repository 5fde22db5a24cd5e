package org.knapweedmount.core.dispatch;

/**
 * A request that waits until no run of an earlier submission of its job is left.
 *
 * @param request the request
 * @param submittedNanos when it was submitted, in ns
 */
record WaitingRequest(JobRequest request, long submittedNanos) {}
