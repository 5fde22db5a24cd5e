package org.knapweedmount.daemon.link;

import java.util.concurrent.atomic.AtomicBoolean;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.EventTranslatorTwoArg;
import com.lmax.disruptor.RingBuffer;
import io.vertx.core.Context;
import org.knapweedmount.api.message.Message;
import org.tinylog.Logger;

/**
 * Hands messages from the decision thread to the event loop through a bounded ring.
 *
 * <p>The event loop is woken once for all messages that are handed over before it comes to read them.
 */
final class Outbox {
    private static final int MAX_MESSAGES_PER_DRAIN = 1_000;

    private final Context context;
    private final Receiver receiver;
    private final RingBuffer<Slot> ring;
    private final EventPoller<Slot> poller;
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    /** Takes the messages on the event loop. */
    interface Receiver {
        void write(Link link, Message message);

        void flush();
    }

    private static final class Slot {
        private Link link;
        private Message message;
    }

    Outbox(Context context, int ringSize, Receiver receiver) {
        this.context = context;
        this.receiver = receiver;
        this.ring = RingBuffer.createSingleProducer(Slot::new, ringSize);
        this.poller = ring.newPoller();
        ring.addGatingSequences(poller.getSequence());
    }

    /** Hands a message over, on the decision thread; returns false if the ring is full. */
    boolean offer(Link link, Message message) {
        EventTranslatorTwoArg<Slot, Link, Message> fill = (slot, sequence, offeredLink, offeredMessage) -> {
            slot.link = offeredLink;
            slot.message = offeredMessage;
        };
        boolean accepted = ring.tryPublishEvent(fill, link, message);
        if (drainScheduled.compareAndSet(false, true)) {
            context.runOnContext(ignored -> drain());
        }
        return accepted;
    }

    /** Returns the number of messages that wait. */
    long depth() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    /** Passes on what waits, on the event loop. */
    void drain() {
        drainScheduled.set(false);
        int[] taken = new int[1];
        try {
            poller.poll((slot, sequence, endOfBatch) -> {
                writeMessage(slot);
                return ++taken[0] < MAX_MESSAGES_PER_DRAIN;
            });
        } catch (Exception e) {
            Logger.error(e, "messages could not be passed on");
        }
        receiver.flush();
        if (taken[0] == MAX_MESSAGES_PER_DRAIN && drainScheduled.compareAndSet(false, true)) {
            context.runOnContext(ignored -> drain());
        }
    }

    private void writeMessage(Slot slot) {
        Link link = slot.link;
        Message message = slot.message;
        slot.link = null;
        slot.message = null;
        try {
            receiver.write(link, message);
        } catch (RuntimeException e) {
            Logger.error(e, "a message to {} could not be written", link.peer());
            link.markMessageLost();
        }
    }
}
