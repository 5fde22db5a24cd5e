package org.knapweedmount.core.entry;

import org.knapweedmount.api.Incarnation;

/**
 * The status of a linked agent for one of its services, as reported to operators.
 *
 * @param agent the agent
 * @param dataCentre the name of the data centre that it runs in
 * @param service the service
 * @param slots the slots that the agent has for the service
 * @param leases the idle leases that the entry holds
 * @param open true if the agent gets new work: it is not leaving, drained or past the link timeout
 */
public record AgentStatus(Incarnation agent, String dataCentre, String service, int slots, int leases, boolean open) {}
