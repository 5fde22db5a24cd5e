package org.knapweedmount.core.fleet;

import java.util.function.LongConsumer;
import java.util.function.ObjLongConsumer;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;

/**
 * What the decisions of a process of either role take, each with the present time in ns.
 *
 * @param linked a link to a process
 * @param unlinked the loss of a link
 * @param received a message
 * @param tick the passing of time
 */
record Decisions(
        ObjLongConsumer<PeerAddress> linked,
        ObjLongConsumer<Incarnation> unlinked,
        Received received,
        LongConsumer tick) {
    /** Takes a message. */
    @FunctionalInterface
    interface Received {
        void accept(Incarnation from, Message message, long nowNanos);
    }
}
