package org.knapweedmount.daemon.http;

import org.knapweedmount.api.JobSpec;

/**
 * The body of a request that submits a job.
 *
 * @param service the service that runs all tasks
 * @param job the job
 */
public record JobRequest(String service, JobSpec job) {}
