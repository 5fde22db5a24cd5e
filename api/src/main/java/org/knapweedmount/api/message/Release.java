package org.knapweedmount.api.message;

import java.util.List;

/**
 * Gives idle leases back to the agent; the entry no longer uses them.
 *
 * @param service the service whose slots they are
 * @param leases the leases' numbers
 */
public record Release(String service, List<Long> leases) implements Message {
    /** Copies the list. */
    public Release {
        leases = List.copyOf(leases);
    }
}
