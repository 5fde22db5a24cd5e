package org.knapweedmount.daemon.link;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;

/**
 * Takes what happens on the links, on the decision thread.
 *
 * <p>For each incarnation the calls come as linked, received any number of times, unlinked, and so on again.
 *
 * @param <T> the decision module
 */
public interface LinkHandler<T> {
    /**
     * Takes a new link, after both sides have said hello.
     *
     * @param core the decision module
     * @param peer the process at the other end
     * @param nowNanos the present time, in ns
     */
    void linked(T core, PeerAddress peer, long nowNanos);

    /**
     * Takes the loss of a link.
     *
     * @param core the decision module
     * @param peer the process at the other end
     * @param nowNanos the present time, in ns
     */
    void unlinked(T core, Incarnation peer, long nowNanos);

    /**
     * Takes a message, heartbeats among them.
     *
     * @param core the decision module
     * @param from the process at the other end
     * @param message the message
     * @param nowNanos the present time, in ns
     */
    void received(T core, Incarnation from, Message message, long nowNanos);
}
