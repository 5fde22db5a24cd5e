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
final class GrantPlan {
    private final String service;
    private final Map<Key, Block> blocks = new LinkedHashMap<>();

    GrantPlan(String service) {
        this.service = service;
    }

    private record Key(Incarnation entry, LeaseScope scope, Optional<Flow> flow) {}

    private static final class Block {
        private final long first;
        private int count;

        Block(long first) {
            this.first = first;
        }
    }

    /**
     * A grant message and its receiver.
     *
     * @param entry the receiver
     * @param grant the message
     */
    record Addressed(Incarnation entry, Grant grant) {}

    /**
     * Adds a lease and assigns its number.
     *
     * @param numbers the allocator of lease numbers
     * @param atMost the maximum number of leases still to be added, including this one
     */
    long add(Incarnation entry, LeaseScope scope, Optional<Flow> flow, LeaseNumbers numbers, int atMost) {
        Block block = blocks.computeIfAbsent(new Key(entry, scope, flow), key -> new Block(numbers.reserve(atMost)));
        return block.first + block.count++;
    }

    boolean isEmpty() {
        return blocks.isEmpty();
    }

    List<Addressed> grants(ToIntFunction<Incarnation> freeElsewhere) {
        List<Addressed> grants = new ArrayList<>(blocks.size());
        blocks.forEach((key, block) -> grants.add(new Addressed(
                key.entry,
                new Grant(
                        service, block.first, block.count, key.scope, key.flow, freeElsewhere.applyAsInt(key.entry)))));
        return grants;
    }
}
