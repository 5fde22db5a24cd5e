package org.knapweedmount.api.message;

import java.util.Optional;

import org.knapweedmount.api.Flow;

/**
 * Grants leases of free slots to an entry; each lease permits the start of one task.
 *
 * @param service the name of the service that the slots belong to
 * @param firstLease the number of the first lease; the others have consecutive numbers
 * @param count the number of leases
 * @param scope which tasks may use the leases
 * @param flow the flow that the leases are bound to, empty if any flow in scope may use them
 * @param otherIdleSlots the number of further slots of this agent that are free, or leased to other entries but unused
 */
public record Grant(
        String service, long firstLease, int count, LeaseScope scope, Optional<Flow> flow, int otherIdleSlots)
        implements Message {}
