package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;

/** Collects the leases granted in one pass and combines them into as few messages as possible. */
final class GrantBatch {
    private final String service;
    private final Map<GrantTarget, LeaseRange> ranges = new LinkedHashMap<>();

    GrantBatch(String service) {
        this.service = service;
    }

    private record GrantTarget(Incarnation entry, LeaseScope scope, Optional<Flow> flow) {}

    private static final class LeaseRange {
        private final long first;
        private int count;

        LeaseRange(long first) {
            this.first = first;
        }
    }

    /**
     * A grant message and its receiver.
     *
     * @param entry the receiver
     * @param grant the message
     */
    record AddressedGrant(Incarnation entry, Grant grant) {}

    /**
     * Adds a lease and assigns its number.
     *
     * @param numbers the allocator of lease numbers
     * @param atMost the maximum number of leases still to be added, including this one
     */
    long add(Incarnation entry, LeaseScope scope, Optional<Flow> flow, LeaseNumbers numbers, int atMost) {
        LeaseRange range = ranges.computeIfAbsent(
                new GrantTarget(entry, scope, flow), target -> new LeaseRange(numbers.reserve(atMost)));
        return range.first + range.count++;
    }

    boolean isEmpty() {
        return ranges.isEmpty();
    }

    List<AddressedGrant> grants(ToIntFunction<Incarnation> otherIdleSlots) {
        List<AddressedGrant> grants = new ArrayList<>(ranges.size());
        ranges.forEach((target, range) -> grants.add(new AddressedGrant(
                target.entry,
                new Grant(
                        service,
                        range.first,
                        range.count,
                        target.scope,
                        target.flow,
                        otherIdleSlots.applyAsInt(target.entry)))));
        return grants;
    }
}
