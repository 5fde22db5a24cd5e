package org.knapweedmount.core.entry;

import org.knapweedmount.api.Flow;

/**
 * What an entry tells operators of a queue.
 *
 * @param service the service that the tasks are for
 * @param flow the flow
 * @param queued the number of queued tasks
 * @param oldestWaitMillis how long the first of them has waited, in ms
 */
public record QueueStatus(String service, Flow flow, int queued, long oldestWaitMillis) {}
