package org.knapweedmount.daemon.agent;

import org.knapweedmount.api.Resources;

/**
 * The measured resource usage of the running tasks of one kind.
 *
 * @param endpointId the ID of the worker
 * @param kind the kind of the tasks
 * @param usedPerTask the peak usage of one task
 */
record UsageReport(String endpointId, String kind, Resources usedPerTask) {}
