package org.knapweedmount.standins.support;

import java.util.Objects;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;

/**
 * The address on which a process listens.
 *
 * @param host an IP address
 * @param port a TCP port
 */
public record HostPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks that the host is not null. */
    public HostPort {
        Objects.requireNonNull(host, "host");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }

    /** Parses addresses on the command line. */
    public static final class Converter implements IStringConverter<HostPort> {
        @Override
        public HostPort convert(String text) {
            int colon = text.lastIndexOf(':');
            if (colon < 1) {
                throw new ParameterException("'" + text + "' is not an address; expected HOST:PORT");
            }
            return new HostPort(text.substring(0, colon), port(text, text.substring(colon + 1)));
        }

        private static int port(String text, String digits) {
            try {
                int port = Integer.parseInt(digits);
                if (port > 0 && port <= MAX_PORT) {
                    return port;
                }
            } catch (NumberFormatException e) {
                throw new ParameterException("'" + text + "' has a port that is not a number; expected HOST:PORT", e);
            }
            throw new ParameterException("'" + text + "' has a port that is out of range; expected 1 to " + MAX_PORT);
        }
    }
}
