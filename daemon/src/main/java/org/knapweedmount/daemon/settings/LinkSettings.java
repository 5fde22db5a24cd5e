package org.knapweedmount.daemon.settings;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Where an entry listens for the links of agents and other entries.
 *
 * @param host the IP address to listen on, which is also advertised to other processes
 * @param port the TCP port to listen on, 0 for any free one
 * @param advertisedPort the advertised port, empty if it is the port listened on
 */
public record LinkSettings(String host, int port, OptionalInt advertisedPort) {
    /** Checks that no component is null. */
    public LinkSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(advertisedPort, "advertisedPort");
    }
}
