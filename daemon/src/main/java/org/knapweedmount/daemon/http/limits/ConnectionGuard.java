package org.knapweedmount.daemon.http.limits;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.knapweedmount.daemon.http.limits.CallerAccount.Closing;

/**
 * Reports what one HTTP/1 connection reads and answers to the account: one handler sees the bytes before they are decoded,
 * another the decoded parts of requests and the responses.
 *
 * <p>Confined to the event loop of the connection, except {@link #refuse}.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a write or close that fails ends the connection in any case
final class ConnectionGuard {
    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2_048;
    private static final int LINGER_MILLIS = 500;
    private static final int MAX_LINGERING = 50; // of all connections, as each has a descriptor
    private static final int SEPARATOR_BYTES = 4; // the colon, the space and the end of a header line
    private static final long REQUEST_LINE_BYTES = 12; // of a request line besides method and target

    private final CallerLimiter limiter;
    private final CallerAccount account;
    private final Channel channel;
    private final ConnectionUse use;
    private boolean responseBegun;
    private boolean refused;

    ConnectionGuard(CallerLimiter limiter, CallerAccount account, Channel channel, ConnectionUse use) {
        this.limiter = limiter;
        this.account = account;
        this.channel = channel;
        this.use = use;
    }

    /** Adds the handlers to the pipeline, the second in front of the named handler. */
    void install(String handlerName) {
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, CallerAccount.BUFFER_BYTES));
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addFirst(new Bytes());
        pipeline.addBefore(handlerName, null, new Messages());
    }

    /** Returns whether the connection is not read at present. */
    boolean isPaused() {
        return !channel.config().isAutoRead();
    }

    /** Answers with the status of a refusal, if no other response is due or begun, and closes the connection. */
    void refuse(Refusal reason) {
        channel.eventLoop().execute(() -> refuseNow(reason));
    }

    private void refuseNow(Refusal reason) {
        if (refused || !channel.isActive()) {
            return;
        }
        refused = true;
        int own = use.phase == ConnectionUse.Phase.BODY ? 1 : 0;
        boolean silent = reason.status() == 0
                || (use.phase == ConnectionUse.Phase.IDLE && reason != Refusal.SKIPPED_BYTES)
                || responseBegun
                || use.unanswered > own;
        if (silent) {
            channel.close();
            return;
        }
        ByteBuf response = Unpooled.copiedBuffer(reason.response(), StandardCharsets.US_ASCII);
        boolean lingering = reason.isLingering() && account.closingConnections() <= MAX_LINGERING;
        ChannelHandlerContext first = channel.pipeline().firstContext();
        first.writeAndFlush(response).addListener((ChannelFutureListener) written -> {
            if (!written.isSuccess() || !lingering) {
                channel.close();
                return;
            }
            if (channel instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
            }
            channel.config().setAutoRead(true);
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    private void execute(List<Closing> closings) {
        limiter.execute(closings);
    }

    private static int skippedBytes(ByteBuf bytes) {
        int index = bytes.readerIndex();
        while (index < bytes.writerIndex() && isSkipped(bytes.getByte(index))) {
            index++;
        }
        return index - bytes.readerIndex();
    }

    /** Returns whether the decoder skips a byte in front of a request. */
    private static boolean isSkipped(byte value) {
        return value >= 0 && (Character.isISOControl(value) || Character.isWhitespace(value));
    }

    private static long headBytes(HttpRequest request) {
        long bytes = REQUEST_LINE_BYTES
                + request.method().name().length()
                + request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + SEPARATOR_BYTES;
        }
        return bytes;
    }

    /** Sees what is read before it is decoded; drops it once the connection is refused. */
    private final class Bytes extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!(message instanceof ByteBuf bytes)) {
                context.fireChannelRead(message);
                return;
            }
            if (refused || use.closing) {
                bytes.release();
                return;
            }
            int skipped = use.phase == ConnectionUse.Phase.IDLE ? skippedBytes(bytes) : 0;
            execute(account.read(use, bytes.readableBytes(), skipped, limiter.nanos()));
            if (use.closing) {
                bytes.release();
                return;
            }
            context.fireChannelRead(message);
            if (use.phase == ConnectionUse.Phase.HEAD) {
                execute(account.decoded(use));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            account.closed(use);
            context.fireChannelInactive();
        }
    }

    /** Sees the decoded parts of requests, and the responses. */
    private final class Messages extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (refused || use.closing) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpRequest request) {
                long size = account.isHeadSuspect(use) ? headBytes(request) : use.headBytes;
                execute(account.headRead(use, size, limiter.nanos()));
                if (use.closing) {
                    ReferenceCountUtil.release(message);
                    return;
                }
            }
            if (message instanceof HttpContent content) {
                long nowNanos = limiter.nanos();
                account.bodyRead(use, content.content().readableBytes(), nowNanos);
                if (message instanceof LastHttpContent) {
                    account.bodyEnded(use, nowNanos);
                }
            }
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            boolean interim = message instanceof HttpResponse response
                    && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (message instanceof HttpResponse && !interim) {
                responseBegun = true;
            }
            if (message instanceof LastHttpContent && !interim) {
                responseBegun = false;
                account.answered(use, limiter.nanos());
            }
            context.write(message, promise);
        }
    }
}
