package org.knapweedmount.daemon.agent;

import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.link.LinkTable;

/** The link operations that the decision thread of an agent uses. */
interface Links {
    /** Sends a message on the link to an entry; drops it if there is no link. */
    void send(Incarnation entry, Message message);

    /** Lists the linked entries. */
    List<PeerAddress> peers();

    /** Adds an entry to those to which a link is kept. */
    void addKnownEntry(PeerAddress entry);

    /** Exposes a link table as links. */
    static Links of(LinkTable<AgentModule> table) {
        return new Links() {
            @Override
            public void send(Incarnation entry, Message message) {
                table.send(entry, message);
            }

            @Override
            public List<PeerAddress> peers() {
                return table.peers();
            }

            @Override
            public void addKnownEntry(PeerAddress entry) {
                table.addKnownEntry(entry);
            }
        };
    }
}
