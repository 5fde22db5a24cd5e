package org.knapweedmount.core.dispatch;

/**
 * A request that is not admitted before other entries are known not to hold its job.
 *
 * @param request the request
 * @param readNanos when it was read, in ns; it has to be answered within a time from then, whatever it waits for
 * @param submittedNanos when it was submitted at the earliest, in ns
 * @param required how recent the knowledge of other entries has to be
 */
record WaitingRequest(JobRequest request, long readNanos, long submittedNanos, RequiredKnowledge required) {}
