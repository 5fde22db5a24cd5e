package org.knapweedmount.daemon.settings;

import java.nio.file.Path;
import java.util.Objects;

/**
 * Where an entry listens for the requests of operators.
 *
 * @param host the IP address to listen on
 * @param port the TCP port to listen on, 0 for any free one
 * @param tokenFile the file with the token that operators have to present; a relative path is resolved against the
 *     directory of the settings file
 */
public record OperatorSettings(String host, int port, Path tokenFile) {
    /** Checks that no component is null. */
    public OperatorSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(tokenFile, "tokenFile");
    }
}
