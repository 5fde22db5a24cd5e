package org.knapweedmount.standins.relay;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;

import org.tinylog.Logger;

/** Static utility methods that close sockets. */
final class Sockets {
    private Sockets() {}

    /** Closes a socket and logs a failure to do so; the peer can still read the bytes that were written. */
    static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            Logger.debug("could not close the socket: {}", e.getMessage());
        }
    }

    /** Resets a connection, discarding the bytes in transit. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            Logger.debug("could not set SO_LINGER, the socket is already closed: {}", e.getMessage());
        }
        closeQuietly(socket);
    }
}
