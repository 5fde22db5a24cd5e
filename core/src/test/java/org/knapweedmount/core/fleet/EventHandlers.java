package org.knapweedmount.core.fleet;

import java.util.function.LongConsumer;
import java.util.function.ObjLongConsumer;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;

/**
 * The event handlers that entries and agents have in common; each is passed the current time in ns.
 *
 * @param linked handles a new link to a process
 * @param unlinked handles the loss of a link
 * @param received handles a message
 * @param tick performs periodic work
 */
record EventHandlers(
        ObjLongConsumer<PeerAddress> linked,
        ObjLongConsumer<Incarnation> unlinked,
        Received received,
        LongConsumer tick) {
    /** Handles a message. */
    @FunctionalInterface
    interface Received {
        void accept(Incarnation from, Message message, long nowNanos);
    }
}
