package org.knapweedmount.core.entry;

import org.knapweedmount.api.Flow;

/**
 * The status of a queue, as reported to operators.
 *
 * @param service the service that the tasks are for
 * @param flow the flow
 * @param queued the number of queued tasks
 * @param oldestWaitMillis the time that the oldest of them has waited, in ms
 */
public record QueueStatus(String service, Flow flow, int queued, long oldestWaitMillis) {}
