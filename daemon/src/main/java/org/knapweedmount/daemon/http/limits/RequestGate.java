package org.knapweedmount.daemon.http.limits;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Passes what is read to the decoder of requests as long as no whole request awaits its answer and the account is not full,
 * and keeps one read until then: what is decoded takes many times its bytes. While something is kept, the connection is not
 * read, and it goes on when it is its turn among the connections that keep something. Reports what is not decoded to the
 * account.
 *
 * <p>Confined to the event loop of the connection.
 */
final class RequestGate extends ChannelInboundHandlerAdapter {
    private final CallerLimiter limiter;
    private final CallerAccount account;
    private final ConnectionUse use;
    private final ResumeQueue resumeQueue;
    private final DecoderInput input = new DecoderInput();
    private ChannelHandlerContext context;
    private ByteBuf kept = Unpooled.EMPTY_BUFFER;
    private boolean decoding;
    private boolean messageDecoded;
    /** What the decoder has consumed since its last message, in bytes. */
    private int consumedBytes;

    private int consumedLines;
    /** The bytes of a body that were decoded and not reported to the account. */
    private int bodyBytes;

    /** Creates a gate for a decoder that has not decoded anything. */
    RequestGate(
            CallerLimiter limiter,
            CallerAccount account,
            ConnectionUse use,
            ByteToMessageDecoder decoder,
            ResumeQueue resumeQueue) {
        this.limiter = limiter;
        this.account = account;
        this.use = use;
        this.resumeQueue = resumeQueue;
        decoder.setCumulator(input);
        decoder.setSingleDecode(true);
        // What is consumed is counted by the position in the buffer, which moves if bytes are discarded.
        decoder.setDiscardAfterReads(Integer.MAX_VALUE);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        if (use.closing) {
            bytes.release();
            return;
        }
        if (use.awaitsAnswer() || kept.isReadable()) {
            keep(bytes);
        } else if (account.isFull()) {
            keep(bytes);
            resumeQueue.add(this);
        } else {
            decode(bytes);
        }
        report();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        account.closed(use);
        context.fireChannelInactive();
    }

    /** Returns the size of the message that the decoder has just passed on, in bytes as received. */
    int messageBytes() {
        return consumedBytes + input.consumed();
    }

    /** Returns the memory of the head that the decoder has just passed on, in bytes. */
    int headMemoryBytes() {
        return MemoryBounds.linesBytes(messageBytes(), consumedLines + input.consumedLines());
    }

    /** Records that the decoder has passed on a message. */
    void messageDecoded() {
        messageDecoded = true;
    }

    /** Records that the decoder has passed on a part of a body. */
    void bodyDecoded(int bytes) {
        bodyBytes += bytes;
    }

    private void keep(ByteBuf bytes) {
        kept = Unpooled.copiedBuffer(kept, bytes);
        bytes.release();
    }

    /** Lets the next request pass; called when the answer to a request is sent. */
    void answerSent() {
        if (!decoding && hasUndecoded()) {
            resumeQueue.add(this);
        }
    }

    /** Decodes what was kept, and reads the connection again. */
    void resume() {
        if (use.closing || use.awaitsAnswer()) {
            return;
        }
        if (account.isFull()) {
            resumeQueue.add(this);
            return;
        }
        ByteBuf next = kept;
        kept = Unpooled.EMPTY_BUFFER;
        decode(next);
        report();
        context.fireChannelReadComplete();
        if (!use.awaitsAnswer() || !hasUndecoded()) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Decodes messages until more bytes are needed, or a whole request is decoded. */
    private void decode(ByteBuf bytes) {
        long nowNanos = limiter.nanos();
        decoding = true;
        try {
            ByteBuf next = bytes;
            do {
                int length = input.unread() + next.readableBytes();
                int skipped = use.isReceiving() ? 0 : input.skippable(next);
                limiter.execute(account.received(use, length, skipped, nowNanos));
                if (use.closing) {
                    next.release();
                    return;
                }
                messageDecoded = false;
                context.fireChannelRead(next);
                consumedLines = messageDecoded ? 0 : consumedLines + input.consumedLines();
                consumedBytes = messageDecoded ? 0 : messageBytes();
                next = Unpooled.EMPTY_BUFFER;
            } while (messageDecoded && input.unread() > 0 && !use.closing && !use.awaitsAnswer());
        } finally {
            decoding = false;
        }
    }

    private boolean hasUndecoded() {
        return kept.isReadable() || input.unread() > 0;
    }

    private void report() {
        if (use.closing) {
            return;
        }
        if (bodyBytes > 0) {
            account.bodyRead(use, bodyBytes, limiter.nanos());
            bodyBytes = 0;
        }
        int partialBytes = use.awaitsAnswer() ? 0 : consumedBytes + input.unread();
        int linesBytes = MemoryBounds.linesBytes(consumedBytes, consumedLines);
        int memoryBytes = linesBytes + kept.capacity() + input.capacity();
        limiter.execute(account.undecoded(use, partialBytes, memoryBytes, limiter.nanos()));
        if (kept.isReadable() || (use.awaitsAnswer() && hasUndecoded())) {
            context.channel().config().setAutoRead(false);
        }
    }
}
