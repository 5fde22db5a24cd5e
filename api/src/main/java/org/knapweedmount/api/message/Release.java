package org.knapweedmount.api.message;

import java.util.List;

/**
 * Releases idle leases; the entry does not use them any more.
 *
 * @param service the name of the service that the slots belong to
 * @param leases the numbers of the leases
 */
public record Release(String service, List<Long> leases) implements Message {
    /** Copies the list of leases. */
    public Release {
        leases = List.copyOf(leases);
    }
}
