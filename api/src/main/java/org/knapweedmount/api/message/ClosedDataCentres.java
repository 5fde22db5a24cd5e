package org.knapweedmount.api.message;

import java.util.Set;

/**
 * Distributes the data centres that the operator has closed to another entry.
 *
 * @param version the version of the operator's store at which exactly these data centres were closed; 0 if none was read
 * @param names the names of the closed data centres
 */
public record ClosedDataCentres(long version, Set<String> names) implements Message {
    /** The state before any was read or received: all data centres are open. */
    public static final ClosedDataCentres UNKNOWN = new ClosedDataCentres(0, Set.of());

    /** Copies the set of names. */
    public ClosedDataCentres {
        names = Set.copyOf(names);
    }
}
