package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.Incarnation;

/**
 * Lists the entries that an agent is linked to, so that an entry that is cut off from another one learns that it is alive.
 *
 * @param entries the entries
 */
public record LinkedEntries(List<Incarnation> entries) implements Message {
    /** Copies the list of entries. */
    public LinkedEntries {
        entries = List.copyOf(entries);
    }
}
