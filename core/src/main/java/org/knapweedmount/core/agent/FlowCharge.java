package org.knapweedmount.core.agent;

/**
 * What a flow was charged in advance for one task.
 *
 * @param flow the flow
 * @param virtualNanos the assumed run time divided by the flow's weight, in ns
 */
record FlowCharge(FlowState flow, double virtualNanos) {}
