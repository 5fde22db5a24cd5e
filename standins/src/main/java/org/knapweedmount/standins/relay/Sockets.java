package org.knapweedmount.standins.relay;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;

import org.tinylog.Logger;

/** Closes sockets. */
final class Sockets {
    private Sockets() {}

    /** Closes a socket, whose peer may still read what was written. */
    static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            Logger.debug("closing failed: {}", e.getMessage());
        }
    }

    /** Resets a connection, dropping what is under way. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            Logger.debug("the socket is closed already: {}", e.getMessage());
        }
        closeQuietly(socket);
    }
}
