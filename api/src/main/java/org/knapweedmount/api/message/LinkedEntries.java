package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.Incarnation;

/**
 * Lists the other entries that an agent serves, so that an entry learns which others may run jobs although it has no link
 * to them. It is the first message on each link, and is sent again after each change.
 *
 * @param entries the entries that the agent is linked to
 * @param unlinkedWithRuns the entries whose link is lost and whose runs have not all ended
 */
public record LinkedEntries(List<Incarnation> entries, List<Incarnation> unlinkedWithRuns) implements Message {
    /** Copies the lists. */
    public LinkedEntries {
        entries = List.copyOf(entries);
        unlinkedWithRuns = List.copyOf(unlinkedWithRuns);
    }
}
