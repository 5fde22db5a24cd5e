package org.knapweedmount.daemon.http.limits;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RequestGateTest {
    private static final String GET = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final int HEAD_BYTES = GET.length();

    private final CallerAccount account = new CallerAccount(CallerLimits.DEFAULT);
    private final CallerLimiter limiter = new CallerLimiter(CallerLimits.DEFAULT, () -> 0, false, List.of());
    private final ConnectionUse use = account.open("10.0.0.1", reason -> {}, 0).connection();
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final ResumeQueue resumeQueue = new ResumeQueue(loop.eventLoop());
    private final HttpRequestDecoder decoder = new HttpRequestDecoder();
    private final RequestGate gate = new RequestGate(limiter, account, use, decoder, resumeQueue);
    private final EmbeddedChannel channel = new EmbeddedChannel(gate, decoder, new Requests());
    private int requests;
    private int headBytes;

    /** Reports requests as the handler behind the decoder does. */
    private final class Requests extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            gate.messageDecoded();
            if (message instanceof HttpRequest) {
                requests++;
                headBytes = gate.messageBytes();
                account.headRead(use, headBytes, gate.headMemoryBytes(), 0);
            }
            if (message instanceof LastHttpContent) {
                account.bodyEnded(use, 0);
            }
            ReferenceCountUtil.release(message);
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private void answer() {
        account.answerWritten(use, 0, 0);
        account.answerTaken(use, 0);
        gate.answerSent();
        loop.runScheduledPendingTasks();
    }

    /** All requests that were read were decoded, and took many times their bytes while the first one was served. */
    @Test
    void requestIsDecodedOnceTheOneBeforeIsAnswered() {
        channel.writeInbound(bytes(GET.repeat(3)));
        assertThat(requests, is(1));
        assertThat(channel.config().isAutoRead(), is(false));
        // The head is decoded, the other requests are kept in the buffer that was read.
        assertThat(account.heldBytes(), is(MemoryBounds.linesBytes(HEAD_BYTES, 3) + 3L * HEAD_BYTES));

        answer();
        assertThat(requests, is(2));
        answer();
        assertThat(requests, is(3));
        assertThat(channel.config().isAutoRead(), is(true));
        answer();
        assertThat(account.heldBytes(), is(0L));
    }

    /** A connection whose caller waits was not to be paused, as only a read tells that the caller has left. */
    @Test
    void connectionIsReadWhileItsOnlyRequestIsServed() {
        channel.writeInbound(bytes(GET));
        assertThat(channel.config().isAutoRead(), is(true));

        channel.writeInbound(bytes(GET.substring(0, 5)));
        assertThat(channel.config().isAutoRead(), is(false));
        assertThat(requests, is(1));
        answer();
        assertThat(channel.config().isAutoRead(), is(true));
        channel.writeInbound(bytes(GET.substring(5)));
        assertThat(requests, is(2));
    }

    @Test
    void sizeOfAHeadIsThatOfItsBytesHoweverTheyArrive() {
        for (byte value : GET.getBytes(StandardCharsets.US_ASCII)) {
            assertThat(requests, is(0));
            channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {value}));
        }

        assertThat(requests, is(1));
        assertThat(headBytes, is(HEAD_BYTES));
    }

    /** Lines were counted by their bytes, of which an entry of the decoded head takes many more. */
    @Test
    void decodedLinesCountWithTheirObjects() {
        String lines = "a:b\r\n".repeat(100);
        channel.writeInbound(bytes("GET /a HTTP/1.1\r\n" + lines));
        assertThat(account.heldBytes(), is((long) MemoryBounds.linesBytes(17 + 500, 101)));

        channel.writeInbound(bytes("\r\n"));
        assertThat(account.heldBytes(), is((long) MemoryBounds.linesBytes(17 + 502, 102)));
        answer();
        assertThat(account.heldBytes(), is(0L));
    }

    /** The lines of a trailer were counted nowhere. */
    @Test
    void linesBehindABodyCountWithTheirObjects() {
        channel.writeInbound(bytes("GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n"));
        long heldBytes = account.heldBytes();
        channel.writeInbound(bytes("a:b\r\n".repeat(100)));

        assertThat(account.heldBytes() - heldBytes, is((long) MemoryBounds.linesBytes(500, 100)));
    }

    /** The rest of a read that ends in a request counts as a part of a head only once it is decoded. */
    @Test
    void headThatFollowsARequestTimesOutFromTheAnswerOn() {
        channel.writeInbound(bytes(GET + GET.substring(0, 5)));
        assertThat(use.phase, is(ConnectionUse.Phase.IDLE));
        answer();

        assertThat(use.phase, is(ConnectionUse.Phase.HEAD));
    }
}
