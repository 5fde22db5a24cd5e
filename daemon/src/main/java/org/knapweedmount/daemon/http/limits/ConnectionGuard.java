package org.knapweedmount.daemon.http.limits;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.knapweedmount.daemon.http.limits.CallerAccount.Closing;

/**
 * Reports what one HTTP/1 connection reads and answers to the account: a gate in front of the decoder, and a handler behind
 * it that sees the decoded parts of requests and the responses.
 *
 * <p>Confined to the event loop of the connection, except {@link #refuse}.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a write or close that fails ends the connection in any case
final class ConnectionGuard {
    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 8 * 1_024;
    private static final int ANSWER_BYTES = 512; // of a response besides its body, outside the heap
    private static final int LINGER_MILLIS = 500;
    private static final int MAX_LINGERING = 50; // of all connections, as each has a descriptor

    private final CallerLimiter limiter;
    private final CallerAccount account;
    private final Channel channel;
    private final ConnectionUse use;
    private final RequestGate gate;
    private boolean responseBegun;
    private boolean refused;

    ConnectionGuard(CallerLimiter limiter, CallerAccount account, Channel channel, ConnectionUse use) {
        this.limiter = limiter;
        this.account = account;
        this.channel = channel;
        this.use = use;
        this.gate = new RequestGate(limiter, account, use, channel.pipeline().get(HttpRequestDecoder.class));
    }

    /** Adds the handlers to the pipeline, the second in front of the named handler. */
    void install(String handlerName) {
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addFirst(gate);
        pipeline.addBefore(handlerName, null, new Messages());
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
                || use.answerUnread
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

    private void answerTaken() {
        account.answerTaken(use, limiter.nanos());
        gate.resume();
    }

    /** Sees the decoded parts of requests, and the responses. */
    private final class Messages extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (refused || use.closing) {
                ReferenceCountUtil.release(message);
                return;
            }
            gate.messageDecoded();
            if (message instanceof HttpRequest) {
                execute(account.headRead(use, gate.messageBytes(), gate.headMemoryBytes(), limiter.nanos()));
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
            if (!(message instanceof LastHttpContent last) || interim) {
                context.write(message, promise);
                return;
            }
            responseBegun = false;
            account.answerWritten(use, ANSWER_BYTES + last.content().readableBytes(), limiter.nanos());
            ChannelPromise taken = promise.unvoid();
            taken.addListener(ignored -> answerTaken());
            context.write(message, taken);
        }
    }
}
