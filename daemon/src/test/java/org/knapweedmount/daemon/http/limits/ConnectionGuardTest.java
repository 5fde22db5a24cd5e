package org.knapweedmount.daemon.http.limits;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ConnectionGuardTest {
    private static final String HEAD = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int CHUNKS = 1_000;

    private final AtomicInteger clockReads = new AtomicInteger();
    private final CallerAccount account = new CallerAccount(CallerLimits.DEFAULT);
    private final CallerLimiter limiter =
            new CallerLimiter(CallerLimits.DEFAULT, clockReads::incrementAndGet, false, List.of("X-Read"));
    private final List<Object> served = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder());

    @BeforeEach
    void installGuard() {
        channel.pipeline().addLast("server", new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                served.add(message);
            }
        });
        ConnectionUse use = account.open("10.0.0.1", reason -> {}, 0).connection();
        new ConnectionGuard(limiter, account, channel, use, new ResumeQueue(channel.eventLoop())).install("server");
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Each chunk was dispatched by itself and visited the account, so that chunks of one byte took the time of all callers. */
    @Test
    void chunksOfOneReadAreTakenTogether() {
        receive(HEAD);
        int readsBefore = clockReads.get();
        receive("1\r\nb\r\n".repeat(CHUNKS));

        assertThat(clockReads.get() - readsBefore, is(lessThan(20)));
        assertThat(served.size(), is(1));
    }

    /** A connection that sent much was read sixteen times before the next one. */
    @Test
    void connectionIsReadOnceInATurn() {
        RecvByteBufAllocator allocator = channel.config().getRecvByteBufAllocator();

        assertThat(allocator, is(instanceOf(MaxMessagesRecvByteBufAllocator.class)));
        assertThat(((MaxMessagesRecvByteBufAllocator) allocator).maxMessagesPerRead(), is(1));
    }

    /** A head was held with all its lines until its request was answered, though the server reads few of them. */
    @Test
    void linesOfALargeHeadThatTheServerDoesNotReadAreDropped() {
        receive("GET /a HTTP/1.1\r\nHost: a\r\n" + "a:b\r\n".repeat(1_000) + "X-Read: c\r\n\r\n");

        HttpHeaders headers = ((HttpRequest) served.get(0)).headers();
        assertThat(headers.get("Host"), is("a"));
        assertThat(headers.get("X-Read"), is("c"));
        assertThat(headers.size(), is(2));
        assertThat(account.heldBytes(), is(lessThan(1_000L)));
    }

    @Test
    void ordinaryHeadIsLeftAsItIs() {
        receive("GET /a HTTP/1.1\r\nHost: a\r\nX-Other: c\r\n\r\n");

        assertThat(((HttpRequest) served.get(0)).headers().get("X-Other"), is("c"));
    }

    /** The server was to see a whole request although it does not get its body. */
    @Test
    void serverLearnsThatARequestHasEnded() {
        receive(HEAD + "1\r\nb\r\n0\r\na:b\r\n\r\n");

        assertThat(served, contains(instanceOf(HttpRequest.class), is(LastHttpContent.EMPTY_LAST_CONTENT)));
    }
}
