package org.knapweedmount.core.entry;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/**
 * The shared context of the components of an entry.
 *
 * @param limits the limits of memory and waiting
 * @param address the entry's own address
 * @param config the current configuration
 * @param output carries out the decisions
 * @param counters the counters of the entry
 * @param invariants the invariant checks
 */
record EntryContext(
        EntryLimits limits,
        PeerAddress address,
        ConfigState config,
        EntryOutput output,
        Counters<EntryCounter> counters,
        Invariants invariants) {
    Incarnation self() {
        return address.incarnation();
    }
}
