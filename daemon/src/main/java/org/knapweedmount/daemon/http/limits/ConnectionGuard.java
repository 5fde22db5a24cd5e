package org.knapweedmount.daemon.http.limits;

import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Future;
import org.knapweedmount.daemon.http.limits.CallerAccount.Closing;

/**
 * Reports what one HTTP/1 connection reads and answers to the account: a gate in front of the decoder, and a handler behind
 * it that sees the decoded parts of requests and the responses.
 *
 * <p>Confined to the event loop of the connection, except {@link #refuse}.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a write or close that fails ends the connection in any case
final class ConnectionGuard {
    private static final int ANSWER_BYTES = 512; // of a response besides its body, outside the heap
    private static final int LINGER_MILLIS = 500;
    private static final int MAX_LINGERING = 50; // of all connections, as each has a descriptor
    private static final int MAX_LINGERING_BYTES = 32 * 1_024; // of each, as the server keeps the head

    private final CallerLimiter limiter;
    private final CallerAccount account;
    private final Channel channel;
    private final ConnectionUse use;
    private final RequestGate gate;
    private BodyReception body;
    private int headMemoryBytes;
    private boolean responseBegun;
    private boolean refused;

    ConnectionGuard(
            CallerLimiter limiter, CallerAccount account, Channel channel, ConnectionUse use, ResumeQueue resumeQueue) {
        this.limiter = limiter;
        this.account = account;
        this.channel = channel;
        this.use = use;
        this.body = new BodyReception(limiter, account, use);
        this.gate =
                new RequestGate(limiter, account, use, channel.pipeline().get(HttpRequestDecoder.class), resumeQueue);
    }

    /** Adds the handlers to the pipeline, the second in front of the named handler. */
    void install(String handlerName) {
        channel.config().setRecvByteBufAllocator(new ReadShares(account::receivingConnections));
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addFirst(gate);
        pipeline.addBefore(handlerName, null, new Messages());
    }

    /** Returns the body of the request that is being received, or that was received last. */
    Future<ReceivedBody> body() {
        return body.future();
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
        long leftBytes = dropRequest(reason);
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
        boolean lingering = reason.isLingering()
                && account.closingConnections() <= MAX_LINGERING
                && leftBytes <= MAX_LINGERING_BYTES;
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

    /** Frees what is held for a request that is refused, except a head that the server has got; returns the rest, in bytes. */
    private long dropRequest(Refusal reason) {
        body.fail(new IllegalStateException("the connection is closed: " + reason));
        if (channel.pipeline().get(HttpRequestDecoder.class) != null) {
            channel.pipeline().remove(HttpRequestDecoder.class);
        }
        long leftBytes = use.phase == ConnectionUse.Phase.BODY ? headMemoryBytes : 0;
        account.dropped(use, leftBytes);
        return leftBytes;
    }

    private void execute(List<Closing> closings) {
        limiter.execute(closings);
    }

    private void answerTaken() {
        account.answerTaken(use, limiter.nanos());
        gate.answerSent();
    }

    private static long declaredLength(HttpRequest request) {
        String length = request.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        boolean digits = length != null && length.matches("[0-9]{1,18}");
        return digits ? Long.parseLong(length) : 0;
    }

    /** Sees the decoded parts of requests, and the responses. */
    private final class Messages extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (!refused && !use.closing) {
                    gate.messageDecoded();
                    received(context, message);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void received(ChannelHandlerContext context, Object message) {
            if (!(message instanceof HttpObject)) {
                context.fireChannelRead(ReferenceCountUtil.retain(message));
                return;
            }
            if (message instanceof HttpRequest request) {
                headReceived(context, request);
            }
            if (message instanceof HttpContent part && !use.closing) {
                partReceived(context, part);
            }
        }

        private void headReceived(ChannelHandlerContext context, HttpRequest request) {
            headMemoryBytes = limiter.headFilter().filter(request, gate.headMemoryBytes());
            execute(account.headRead(use, gate.messageBytes(), headMemoryBytes, limiter.nanos()));
            if (!use.closing
                    && declaredLength(request) > account.limits().request().maxBodyBytes()) {
                execute(account.refuse(use, Refusal.BODY_TOO_LARGE));
            }
            if (use.closing) {
                return;
            }
            body = new BodyReception(limiter, account, use);
            context.fireChannelRead(ReferenceCountUtil.retain(request));
        }

        private void partReceived(ChannelHandlerContext context, HttpContent part) {
            gate.bodyDecoded(part.content().readableBytes());
            body.add(part.content());
            if (use.closing || !(part instanceof LastHttpContent)) {
                return;
            }
            account.bodyEnded(use, limiter.nanos());
            if (part.decoderResult().isFailure()) {
                body.fail(part.decoderResult().cause());
                forward(context, part, part);
            } else {
                // The server needs neither the body nor the trailer, but has to learn that the request has ended.
                forward(context, part, LastHttpContent.EMPTY_LAST_CONTENT);
                body.complete();
            }
        }

        /** Passes on a message in place of a part, unless the part was passed on as a whole request. */
        private void forward(ChannelHandlerContext context, HttpContent part, HttpContent message) {
            if (!(part instanceof HttpRequest)) {
                context.fireChannelRead(ReferenceCountUtil.retain(message));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            body.fail(new ClosedChannelException());
            context.fireChannelInactive();
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
