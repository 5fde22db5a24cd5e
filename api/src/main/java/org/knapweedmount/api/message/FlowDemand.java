package org.knapweedmount.api.message;

import org.knapweedmount.api.Flow;

/**
 * The demand of one flow at one entry.
 *
 * @param flow the flow
 * @param queued the number of queued tasks
 * @param oldestWaitMicros the queue wait of the oldest of them when the demand was sent, in microseconds
 */
public record FlowDemand(Flow flow, int queued, long oldestWaitMicros) {}
