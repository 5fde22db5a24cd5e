package org.knapweedmount.api;

import java.util.Objects;

/**
 * Where an incarnation listens for links of other processes.
 *
 * @param incarnation the process
 * @param role what the process does
 * @param region the name of the region of the data centre; only entries have links to other regions
 * @param dataCentre the name of the data centre that the process runs in
 * @param host the IP number that it listens on
 * @param port the TCP port that it listens on, or 0 if it only opens links itself
 */
public record PeerAddress(Incarnation incarnation, Role role, String region, String dataCentre, String host, int port) {
    /** The region of processes whose settings name none. */
    public static final String DEFAULT_REGION = "default";

    /** Checks that nothing is missing. */
    public PeerAddress {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(host, "host");
    }

    /**
     * Creates the address of a process in the default region.
     *
     * @param incarnation the process
     * @param role what the process does
     * @param dataCentre the name of the data centre that the process runs in
     * @param host the IP number that it listens on
     * @param port the TCP port that it listens on, or 0 if it only opens links itself
     */
    public PeerAddress(Incarnation incarnation, Role role, String dataCentre, String host, int port) {
        this(incarnation, role, DEFAULT_REGION, dataCentre, host, port);
    }

    /**
     * Tells whether another process runs in the same region.
     *
     * @param other the other process
     * @return true if it does
     */
    public boolean sharesRegionWith(PeerAddress other) {
        return region.equals(other.region);
    }
}
