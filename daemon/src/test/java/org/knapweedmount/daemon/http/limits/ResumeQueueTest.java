package org.knapweedmount.daemon.http.limits;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Connections whose callers send requests ahead, each with a server that answers at once. */
class ResumeQueueTest {
    private static final int CONNECTIONS = 40;
    private static final String GET = "GET /a HTTP/1.1\r\n\r\n";

    private final CallerAccount account = new CallerAccount(CallerLimits.DEFAULT);
    private final CallerLimiter limiter = new CallerLimiter(CallerLimits.DEFAULT, () -> 0, false, List.of());
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final ResumeQueue queue = new ResumeQueue(loop.eventLoop());
    private int requests;

    private EmbeddedChannel connect() {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder());
        channel.pipeline().addLast("server", new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                requests += message instanceof HttpRequest ? 1 : 0;
                if (message instanceof LastHttpContent) {
                    context.channel().eventLoop().execute(() -> answer(context));
                }
            }
        });
        ConnectionUse use = account.open("10.0.0.1", reason -> {}, 0).connection();
        new ConnectionGuard(limiter, account, channel, use, queue).install("server");
        return channel;
    }

    private static void answer(ChannelHandlerContext context) {
        context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK))
                .addListener(sent -> assertThat(sent.isSuccess(), is(true)));
    }

    /** All connections went on at once, so that a caller which sends one request after the other waited behind all of them. */
    @Test
    void requestsThatWereSentAheadGoOnInTurns() {
        for (int i = 0; i < CONNECTIONS; i++) {
            connect().writeInbound(Unpooled.copiedBuffer(GET.repeat(3), StandardCharsets.US_ASCII));
        }
        assertThat(requests, is(CONNECTIONS));

        loop.runScheduledPendingTasks();
        assertThat(requests, is(CONNECTIONS + ResumeQueue.MAX_RESUMED));
        loop.runScheduledPendingTasks();
        assertThat(requests, is(CONNECTIONS + 2 * ResumeQueue.MAX_RESUMED));
        loop.runScheduledPendingTasks();
        assertThat(requests, is(2 * CONNECTIONS));
    }
}
