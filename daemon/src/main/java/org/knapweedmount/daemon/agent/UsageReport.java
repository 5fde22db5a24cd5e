package org.knapweedmount.daemon.agent;

import org.knapweedmount.api.Resources;

/**
 * What the running tasks of one kind really use.
 *
 * @param endpointId the id of the worker
 * @param kind the kind of the tasks
 * @param usedPerTask what one task used at its peak
 */
record UsageReport(String endpointId, String kind, Resources usedPerTask) {}
