package org.knapweedmount.api;

import java.util.Objects;

/**
 * Where an incarnation listens for links of other processes.
 *
 * @param incarnation the process
 * @param role what the process does
 * @param dataCentre the name of the data centre that the process runs in
 * @param host the IP number that it listens on
 * @param port the TCP port that it listens on, or 0 if it only opens links itself
 */
public record PeerAddress(Incarnation incarnation, Role role, String dataCentre, String host, int port) {
    /** Checks that nothing is missing. */
    public PeerAddress {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(host, "host");
    }
}
