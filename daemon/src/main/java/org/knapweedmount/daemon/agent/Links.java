package org.knapweedmount.daemon.agent;

import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.link.LinkTable;

/** The links as the decision thread of an agent uses them. */
interface Links {
    /** Sends a message on the link to an entry; dropped if there is none. */
    void send(Incarnation entry, Message message);

    /** Lists the entries that are linked. */
    List<PeerAddress> peers();

    /** Takes note of an entry that a link is wanted to. */
    void know(PeerAddress entry);

    /** Returns the links of a table. */
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
            public void know(PeerAddress entry) {
                table.know(entry);
            }
        };
    }
}
