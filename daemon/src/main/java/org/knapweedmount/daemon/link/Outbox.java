package org.knapweedmount.daemon.link;

import java.util.concurrent.atomic.AtomicBoolean;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.EventTranslatorTwoArg;
import com.lmax.disruptor.RingBuffer;
import io.vertx.core.Context;
import org.knapweedmount.api.message.Message;
import org.tinylog.Logger;

/**
 * Passes messages from the decision thread to the event loop through a bounded ring buffer.
 *
 * <p>The event loop is woken once per batch: no further task is scheduled while one is pending.
 */
final class Outbox {
    private static final int MAX_MESSAGES_PER_DRAIN = 1_000;

    private final Context context;
    private final Receiver receiver;
    private final RingBuffer<Slot> ring;
    private final EventPoller<Slot> poller;
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    /** Receives the messages on the event loop. */
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

    /** Adds a message, on the decision thread; returns false if the ring buffer is full. */
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

    /** Returns the number of waiting messages. */
    long depth() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    /** Passes a batch of waiting messages to the receiver, on the event loop. */
    void drain() {
        drainScheduled.set(false);
        int[] taken = new int[1];
        try {
            poller.poll((slot, sequence, endOfBatch) -> {
                writeMessage(slot);
                return ++taken[0] < MAX_MESSAGES_PER_DRAIN;
            });
        } catch (Exception e) {
            Logger.error(e, "outbox could not be drained");
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
            Logger.error(e, "message to {} could not be written", link.peer());
            link.markMessageLost();
        }
    }
}
