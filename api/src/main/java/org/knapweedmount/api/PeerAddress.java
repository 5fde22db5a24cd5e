package org.knapweedmount.api;

import java.util.Objects;

/**
 * The address at which a process accepts links from other processes.
 *
 * @param incarnation the incarnation of the process
 * @param role the role of the process
 * @param region the name of the region of the data centre; only entries have links to other regions
 * @param dataCentre the name of the data centre that the process runs in
 * @param host the IP address that it listens on
 * @param port the TCP port that it listens on, or 0 if it accepts no links
 */
public record PeerAddress(Incarnation incarnation, Role role, String region, String dataCentre, String host, int port) {
    /** The region of processes whose settings do not specify one. */
    public static final String DEFAULT_REGION = "default";

    /** Checks that no component is null. */
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
     * @param incarnation the incarnation of the process
     * @param role the role of the process
     * @param dataCentre the name of the data centre that the process runs in
     * @param host the IP address that it listens on
     * @param port the TCP port that it listens on, or 0 if it accepts no links
     */
    public PeerAddress(Incarnation incarnation, Role role, String dataCentre, String host, int port) {
        this(incarnation, role, DEFAULT_REGION, dataCentre, host, port);
    }

    /**
     * Returns whether another process runs in the same region.
     *
     * @param other the address of the other process
     * @return true if both regions are equal
     */
    public boolean sharesRegionWith(PeerAddress other) {
        return region.equals(other.region);
    }
}
