package org.knapweedmount.standins.relay;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.knapweedmount.standins.support.HostPort;

/**
 * The port on which a relay listens and the address to which it connects.
 *
 * @param port the TCP port to listen on, 0 to use any free port
 * @param target the address to connect to
 */
record RelayRoute(int port, HostPort target) {
    /** Parses routes on the command line. */
    static final class Converter implements IStringConverter<RelayRoute> {
        @Override
        public RelayRoute convert(String text) {
            int equals = text.indexOf('=');
            if (equals < 1) {
                throw new ParameterException("'" + text + "' is not a route; expected PORT=HOST:PORT");
            }
            HostPort listen = new HostPort.Converter().convert("127.0.0.1:" + text.substring(0, equals));
            return new RelayRoute(listen.port(), new HostPort.Converter().convert(text.substring(equals + 1)));
        }
    }
}
