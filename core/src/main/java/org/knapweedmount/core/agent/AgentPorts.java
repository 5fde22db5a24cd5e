package org.knapweedmount.core.agent;

import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/**
 * What every part of an agent uses.
 *
 * @param limits what bounds memory and waiting
 * @param output carries out what is decided
 * @param counters what is counted
 * @param invariants checks of the program itself
 */
record AgentPorts(AgentLimits limits, AgentOutput output, Counters<AgentCounter> counters, Invariants invariants) {}
