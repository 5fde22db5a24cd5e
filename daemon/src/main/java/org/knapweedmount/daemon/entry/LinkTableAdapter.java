package org.knapweedmount.daemon.entry;

import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.link.LinkTable;

/** Exposes the link table as {@link Links}. */
final class LinkTableAdapter implements Links {
    private final LinkTable<EntryModule> table;

    LinkTableAdapter(LinkTable<EntryModule> table) {
        this.table = table;
    }

    @Override
    public void send(Incarnation peer, Message message) {
        table.send(peer, message);
    }

    @Override
    public List<PeerAddress> peers() {
        return table.peers();
    }

    @Override
    public void addKnownEntry(PeerAddress entry) {
        table.addKnownEntry(entry);
    }

    @Override
    public void connect(PeerAddress entry) {
        table.connectOnDemand(entry);
    }
}
