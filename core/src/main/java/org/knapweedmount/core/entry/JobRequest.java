package org.knapweedmount.core.entry;

import org.knapweedmount.api.JobSpec;

/**
 * A request to run a job.
 *
 * @param requester the receiver of the answer
 * @param service the service of all tasks
 * @param job the job
 * @param awaitEnd true to answer when the job has ended, false to answer once it is accepted
 */
record JobRequest(Requester requester, String service, JobSpec job, boolean awaitEnd) {}
