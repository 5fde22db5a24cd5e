package org.knapweedmount.daemon.entry;

import java.util.ArrayList;
import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Message;

/** In-memory links that record all calls. */
final class FakeLinks implements Links {
    /** A message that was sent. */
    record Sent(Incarnation peer, Message message) {}

    final List<PeerAddress> linked = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<PeerAddress> knownEntries = new ArrayList<>();
    final List<PeerAddress> connectedEntries = new ArrayList<>();

    static PeerAddress remoteEntry(String name) {
        return new PeerAddress(new Incarnation(name, 1), Role.ENTRY, "elsewhere", "bilbao", "127.0.0.1", 7101);
    }

    static PeerAddress peer(String name, Role role) {
        return new PeerAddress(new Incarnation(name, 1), role, "rennes", "127.0.0.1", role == Role.ENTRY ? 7101 : 0);
    }

    @Override
    public void send(Incarnation peer, Message message) {
        sent.add(new Sent(peer, message));
    }

    @Override
    public List<PeerAddress> peers() {
        return linked;
    }

    @Override
    public void addKnownEntry(PeerAddress entry) {
        knownEntries.add(entry);
    }

    @Override
    public void connect(PeerAddress entry) {
        connectedEntries.add(entry);
    }
}
