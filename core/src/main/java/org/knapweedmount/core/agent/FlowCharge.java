package org.knapweedmount.core.agent;

/**
 * The estimated cost that a flow was charged for one task in advance.
 *
 * @param flow the flow
 * @param virtualNanos the estimated run time divided by the flow's weight, in ns
 */
record FlowCharge(FlowState flow, double virtualNanos) {}
