package org.knapweedmount.core.dispatch;

/**
 * A request that is not admitted before other entries are known not to hold its job.
 *
 * @param request the request
 * @param submittedNanos when it was submitted, in ns
 * @param required how recent the knowledge of other entries has to be
 */
record WaitingRequest(JobRequest request, long submittedNanos, RequiredKnowledge required) {}
