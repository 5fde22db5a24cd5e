package org.knapweedmount.api.message;

import org.knapweedmount.api.Flow;

/**
 * The queued tasks of one flow at one entry.
 *
 * @param flow the flow
 * @param queued the number of queued tasks
 * @param oldestWaitMicros how long the first of them had waited when the demand was sent, in microseconds
 */
public record FlowDemand(Flow flow, int queued, long oldestWaitMicros) {}
