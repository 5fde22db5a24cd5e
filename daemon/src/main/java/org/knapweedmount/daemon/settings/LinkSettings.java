package org.knapweedmount.daemon.settings;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Where an entry listens for the links of agents and other entries.
 *
 * @param host the IP number to listen on, which is also told to other processes
 * @param port the TCP port to listen on, 0 for any free one
 * @param advertisedPort the port told to other processes if it differs from the one listened on
 */
public record LinkSettings(String host, int port, OptionalInt advertisedPort) {
    /** Checks that nothing is missing. */
    public LinkSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(advertisedPort, "advertisedPort");
    }
}
