package org.knapweedmount.daemon.entry;

import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;

/** The links as the decision thread of an entry uses them. */
interface Links {
    /**
     * Sends a message on the link to a process; dropped if there is none.
     *
     * @param peer the receiver
     * @param message the message
     */
    void send(Incarnation peer, Message message);

    /**
     * Lists the processes that are linked.
     *
     * @return the agents and entries in no particular order
     */
    List<PeerAddress> peers();

    /**
     * Takes note of an entry that a link is wanted to.
     *
     * @param entry the entry
     */
    void know(PeerAddress entry);

    /**
     * Wants a link to an entry of another region for the moment.
     *
     * @param entry the entry
     */
    void reach(PeerAddress entry);
}
