package org.knapweedmount.api.message;

import java.util.Optional;

import org.knapweedmount.api.Flow;

/**
 * Leases of free slots, handed to an entry; each lease allows the start of one task.
 *
 * @param service the service whose slots they are
 * @param firstLease the first lease's number; the others follow without a gap
 * @param count the number of leases
 * @param scope which tasks may use the leases
 * @param flow the flow that the leases are meant for, empty if any flow in scope may use them
 * @param otherIdleSlots the number of further slots at this agent that are free or leased to other entries but idle
 */
public record Grant(
        String service, long firstLease, int count, LeaseScope scope, Optional<Flow> flow, int otherIdleSlots)
        implements Message {}
