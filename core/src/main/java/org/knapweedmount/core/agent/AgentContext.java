package org.knapweedmount.core.agent;

import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/**
 * Dependencies shared by the components of an agent.
 *
 * @param limits the limits on memory use and timeouts
 * @param output sends messages, and starts and stops tasks
 * @param counters the counters to update
 * @param invariants the checker of internal invariants
 */
record AgentContext(AgentLimits limits, AgentOutput output, Counters<AgentCounter> counters, Invariants invariants) {}
