package org.knapweedmount.standins.relay;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.knapweedmount.standins.support.HostPort;

/**
 * Where a relay listens and connects to.
 *
 * @param port the TCP port to listen on, 0 for any free one
 * @param target the address to connect to
 */
record RelayRoute(int port, HostPort target) {
    /** Reads routes from the command line. */
    static final class Converter implements IStringConverter<RelayRoute> {
        @Override
        public RelayRoute convert(String text) {
            int equals = text.indexOf('=');
            if (equals < 1) {
                throw new ParameterException("'" + text + "' is no route; expected PORT=HOST:PORT");
            }
            HostPort listen = new HostPort.Converter().convert("127.0.0.1:" + text.substring(0, equals));
            return new RelayRoute(listen.port(), new HostPort.Converter().convert(text.substring(equals + 1)));
        }
    }
}
