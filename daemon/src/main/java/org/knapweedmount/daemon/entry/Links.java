package org.knapweedmount.daemon.entry;

import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;

/** The link operations that the decision thread of an entry uses. */
interface Links {
    /**
     * Sends a message on the link to a process; drops it if there is no link.
     *
     * @param peer the receiver
     * @param message the message
     */
    void send(Incarnation peer, Message message);

    /**
     * Lists the linked processes.
     *
     * @return the agents and entries in no particular order
     */
    List<PeerAddress> peers();

    /**
     * Adds an entry to those to which a link is kept.
     *
     * @param entry the entry
     */
    void addKnownEntry(PeerAddress entry);

    /**
     * Opens a temporary link to an entry of another region.
     *
     * @param entry the entry
     */
    void connect(PeerAddress entry);
}
