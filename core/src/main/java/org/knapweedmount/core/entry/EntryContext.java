package org.knapweedmount.core.entry;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/**
 * What all parts of an entry's decisions share.
 *
 * @param limits what bounds memory and waiting
 * @param address the entry's own address
 * @param config the configuration in force
 * @param output carries out what is decided
 * @param counters what is counted
 * @param invariants checks of the program itself
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
