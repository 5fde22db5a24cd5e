package org.knapweedmount.core.entry;

import org.knapweedmount.api.JobSpec;

/**
 * A request to run a job.
 *
 * @param requester who is to be answered
 * @param service the service of all tasks
 * @param job the job
 * @param awaitEnd true if the answer is wanted when the job has ended, false to be answered once it is accepted
 */
record JobRequest(Requester requester, String service, JobSpec job, boolean awaitEnd) {}
