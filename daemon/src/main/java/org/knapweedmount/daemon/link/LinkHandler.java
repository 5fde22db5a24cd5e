package org.knapweedmount.daemon.link;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;

/**
 * Handles link events on the decision thread.
 *
 * <p>For each incarnation the order of calls is linked, any number of received, unlinked; the sequence may repeat.
 *
 * @param <T> the decision module
 */
public interface LinkHandler<T> {
    /**
     * Handles a new link, after the hello of the peer has been accepted.
     *
     * @param core the decision module
     * @param peer the peer
     * @param nowNanos the current time, in ns
     */
    void linked(T core, PeerAddress peer, long nowNanos);

    /**
     * Handles the loss of a link.
     *
     * @param core the decision module
     * @param peer the peer
     * @param nowNanos the current time, in ns
     */
    void unlinked(T core, Incarnation peer, long nowNanos);

    /**
     * Handles a message, including heartbeats.
     *
     * @param core the decision module
     * @param from the peer that sent the message
     * @param message the message
     * @param nowNanos the current time, in ns
     */
    void received(T core, Incarnation from, Message message, long nowNanos);
}
