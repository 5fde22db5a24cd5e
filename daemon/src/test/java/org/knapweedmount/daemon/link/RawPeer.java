package org.knapweedmount.daemon.link;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.wire.FrameException;
import org.knapweedmount.wire.LinkEnds;
import org.knapweedmount.wire.MessageEncoder;

/** A raw socket to a process under test, which can send arbitrary bytes. */
final class RawPeer implements AutoCloseable {
    private final Socket socket;

    RawPeer(TestProcess process) throws IOException {
        this.socket = new Socket(InetAddress.getLoopbackAddress(), process.self.port());
    }

    static Hello hello(String name, Role role, int version) {
        PeerAddress sender = new PeerAddress(new Incarnation(name, 1), role, "rennes", TestProcess.HOST, 0);
        return new Hello(version, sender);
    }

    static Hello agentHello(String name) {
        return hello(name, Role.AGENT, Hello.PROTOCOL_VERSION);
    }

    RawPeer send(Message message) throws IOException, FrameException {
        return send(new MessageEncoder().encode(message, LinkEnds.UNKNOWN));
    }

    RawPeer send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** Sends copies of a message until the peer closes the connection or all are sent. */
    void sendWhileOpen(Message message, int count) throws FrameException {
        byte[] frame = new MessageEncoder().encode(message, LinkEnds.UNKNOWN);
        boolean open = true;
        for (int i = 0; i < count && open; i++) {
            open = sendIfOpen(frame);
        }
    }

    private boolean sendIfOpen(byte[] frame) {
        try {
            send(frame);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads one whole frame. */
    void awaitFrame() throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        in.skipNBytes(in.readInt());
    }

    /** Reads until the peer closes the connection. */
    void awaitClose() throws IOException {
        InputStream in = socket.getInputStream();
        byte[] skipped = new byte[4096];
        int count = 0;
        while (count >= 0) {
            count = readOrEnd(in, skipped);
        }
    }

    private static int readOrEnd(InputStream in, byte[] skipped) {
        try {
            return in.read(skipped);
        } catch (IOException e) {
            return -1;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
