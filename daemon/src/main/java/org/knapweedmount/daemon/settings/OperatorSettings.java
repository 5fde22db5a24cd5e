package org.knapweedmount.daemon.settings;

import java.nio.file.Path;
import java.util.Objects;

/**
 * Where an entry listens for the requests of operators.
 *
 * @param host the IP number to listen on
 * @param port the TCP port to listen on, 0 for any free one
 * @param tokenFile the file with the token that operators have to present; a relative path in the settings starts at the
 *     directory of the settings file
 */
public record OperatorSettings(String host, int port, Path tokenFile) {
    /** Checks that nothing is missing. */
    public OperatorSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(tokenFile, "tokenFile");
    }
}
