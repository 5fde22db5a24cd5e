package org.knapweedmount.daemon.http.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.knapweedmount.daemon.http.limits.CallerAccount.Closing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/** Replays of crowds of callers as data, with the times that the account is told. */
class CallerAccountTest {
    private static final int HEAD_BYTES = 200;
    private static final int BODY_BYTES = 250_000;
    private static final int LARGE_CHUNK_BYTES = 50_000;
    private static final long MAX_HELD_BYTES = 2_000_000;
    private static final CallerLimits LIMITS = new CallerLimits(
            new RequestLimits(4_096, 262_144, 1_000, 60_000, 2_000, 3_000, 4_096),
            new ConnectionBounds(20, 15),
            new MemoryBounds(MAX_HELD_BYTES, 1_500_000, 600_000));

    private final CallerAccount account = new CallerAccount(LIMITS);
    private final List<Closing> closings = new ArrayList<>();
    private long millis;

    private long now() {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private ConnectionUse open(String address) {
        CallerAccount.Opened opened = account.open(address, reason -> {}, now());
        close(opened.closings());
        return opened.connection();
    }

    private void close(List<Closing> decided) {
        closings.addAll(decided);
        decided.forEach(closing -> account.closed(closing.connection()));
    }

    private void head(ConnectionUse use) {
        close(account.received(use, HEAD_BYTES, 0, now()));
        close(account.headRead(use, HEAD_BYTES, HEAD_BYTES, now()));
    }

    /** Receives a part of a head, of which all that has arrived is given. */
    private void receive(ConnectionUse use, int headBytes) {
        close(account.received(use, 1, 0, now()));
        close(account.undecoded(use, headBytes, headBytes, now()));
    }

    private void answer(ConnectionUse use) {
        account.answerWritten(use, 0, now());
        account.answerTaken(use, now());
    }

    private void chunk(ConnectionUse use, int bytes) {
        close(account.received(use, bytes, 0, now()));
        account.bodyRead(use, bytes, now());
        close(account.holdBody(use, bytes, now()));
    }

    private void body(ConnectionUse use, int chunkBytes) {
        head(use);
        for (int i = 0; i < BODY_BYTES / chunkBytes; i++) {
            chunk(use, chunkBytes);
        }
    }

    private void check() {
        close(account.overdue(now()));
    }

    private List<Refusal> reasons() {
        return closings.stream().map(Closing::reason).toList();
    }

    /** Bodies that stopped just short of their end were kept without a bound on their sum. */
    @Test
    void unfinishedBodiesOfManyAddressesStayWithinTheBoundOfTheProcess() {
        for (int i = 0; i < 20; i++) {
            body(open("10.0.0." + i), LARGE_CHUNK_BYTES);
            assertThat(account.heldBytes(), is(lessThanOrEqualTo(MAX_HELD_BYTES)));
            millis += 10;
        }

        assertThat(reasons(), is(not(empty())));
        assertThat(reasons(), everyItem(is(Refusal.MEMORY)));
    }

    /** The same in very small chunks. */
    @Test
    void unfinishedBodiesInSmallChunksStayWithinTheBound() {
        for (int i = 0; i < 20; i++) {
            body(open("10.0.0." + i), 50);
            assertThat(account.heldBytes(), is(lessThanOrEqualTo(MAX_HELD_BYTES)));
        }

        assertThat(reasons(), everyItem(is(Refusal.MEMORY)));
    }

    /** One address took all the memory. */
    @Test
    void unfinishedBodiesOfOneAddressStayWithinItsShare() {
        for (int i = 0; i < 12; i++) {
            body(open("10.0.0.1"), LARGE_CHUNK_BYTES);
        }

        assertThat(reasons(), is(not(empty())));
        assertThat(reasons(), everyItem(is(Refusal.ADDRESS_SHARE)));
        assertThat(account.heldBytes(), is(lessThanOrEqualTo(1_500_000L)));
    }

    /** A slow caller inside the limits was closed instead of those that had stopped. */
    @Test
    void callerWhoseBodyArrivesSlowlyIsServedWhileStalledOnesAreClosed() {
        ConnectionUse slow = open("10.0.1.1");
        head(slow);
        for (int i = 0; i < 19; i++) {
            body(open("10.0.0." + i), LARGE_CHUNK_BYTES);
            millis += 500;
            chunk(slow, 2_000);
            check();
        }
        account.bodyEnded(slow, now());

        assertThat(slow.closing, is(false));
        assertThat(account.detachBody(slow), is(greaterThan(0L)));
    }

    /** A body that stops was kept as long as its connection. */
    @Test
    void bodyWithoutProgressTimesOut() {
        ConnectionUse use = open("10.0.0.1");
        body(use, LARGE_CHUNK_BYTES);
        millis += 1_900;
        check();
        assertThat(closings, is(empty()));
        chunk(use, 10);
        millis += 200;
        check();

        assertThat(reasons(), is(List.of(Refusal.BODY_TIMEOUT)));
        assertThat(account.heldBytes(), is(0L));
    }

    /** Header lines that go on at a slow rate kept a head alive. */
    @Test
    void trickledHeadTimesOut() {
        ConnectionUse use = open("10.0.0.1");
        for (int i = 0; i < 20 && !use.closing; i++) {
            receive(use, 20 * (i + 1));
            millis += 100;
            check();
        }

        assertThat(reasons(), is(List.of(Refusal.HEAD_TIMEOUT)));
    }

    /** A head over the limit waited for its end. */
    @Test
    void headOverTheLimitIsRefusedBeforeItsEnd() {
        ConnectionUse use = open("10.0.0.1");
        receive(use, 4_096);
        assertThat(closings, is(empty()));
        receive(use, 4_097);

        assertThat(reasons(), is(List.of(Refusal.HEADER_TOO_LARGE)));
    }

    /** The body that is read together with a head was not to count as a part of the head. */
    @Test
    void headThatIsReadTogetherWithItsBodyIsNotTooLarge() {
        ConnectionUse use = open("10.0.0.1");
        close(account.received(use, 8_000, 0, now()));
        close(account.headRead(use, 300, 300, now()));
        close(account.undecoded(use, 0, 8_000, now()));

        assertThat(closings, is(empty()));
    }

    /** The lines of a trailer, or of an extension of a chunk, were not bounded. */
    @Test
    void linesBehindABodyAreBoundedLikeAHead() {
        ConnectionUse use = open("10.0.0.1");
        body(use, LARGE_CHUNK_BYTES);
        long heldBytes = account.heldBytes();
        receive(use, 4_096);
        assertThat(account.heldBytes(), is(heldBytes + 4_096));
        assertThat(closings, is(empty()));
        receive(use, 4_097);

        assertThat(reasons(), is(List.of(Refusal.HEADER_TOO_LARGE)));
    }

    /** Empty lines before a request were skipped without a bound. */
    @Test
    void emptyLinesBeforeARequestAreBounded() {
        ConnectionUse use = open("10.0.0.1");
        close(account.received(use, 4_096, 4_096, now()));
        assertThat(closings, is(empty()));
        close(account.received(use, 2, 2, now()));

        assertThat(reasons(), is(List.of(Refusal.SKIPPED_BYTES)));
    }

    /** Connections that were opened and never used kept other callers out. */
    @Test
    void newConnectionReplacesAStalledOneAtTheBound() {
        ConnectionUse first = open("10.0.0.1");
        for (int i = 1; i < 20; i++) {
            open("10.0.0." + (i + 1));
        }
        millis += 2_000;
        ConnectionUse next = open("10.0.1.1");

        assertThat(reasons(), is(List.of(Refusal.CONNECTIONS)));
        assertThat(first.closing, is(true));
        assertThat(next.closing, is(false));
        assertThat(account.connections(), is(20));
    }

    /** A burst of connections exceeded the bound, or pushed out those that had just come. */
    @Test
    void burstOfConnectionsIsRefusedAtTheBoundOfItsAddress() {
        List<ConnectionUse> opened = new ArrayList<>();
        for (int i = 0; i < 18; i++) {
            opened.add(open("10.0.0.1"));
        }

        assertThat(
                reasons(),
                is(List.of(Refusal.ADDRESS_CONNECTIONS, Refusal.ADDRESS_CONNECTIONS, Refusal.ADDRESS_CONNECTIONS)));
        assertThat(opened.get(0).closing, is(false));
        assertThat(opened.get(17).closing, is(true));
        assertThat(account.connections(), is(15));
    }

    /** A caller that waits for the answer to its job lost its connection to a new one. */
    @Test
    void connectionThatAwaitsAnAnswerIsNotClosed() {
        for (int i = 0; i < 20; i++) {
            ConnectionUse use = open("10.0.0." + i);
            head(use);
            account.bodyEnded(use, now());
        }
        millis += 30_000;
        check();
        ConnectionUse next = open("10.0.1.1");

        assertThat(closings.size(), is(1));
        assertThat(next.closing, is(true));
    }

    /** Bytes of closed and of answered requests were counted for ever, or given back twice. */
    @Test
    void nothingIsHeldAfterAMixOfClosedAndAnsweredRequests() {
        for (int i = 0; i < 60; i++) {
            ConnectionUse use = open("10.0.0." + (i % 7));
            head(use);
            chunk(use, 10_000);
            if (i % 3 == 0) {
                account.closed(use);
                account.closed(use);
            } else {
                account.bodyEnded(use, now());
                long body = account.detachBody(use);
                if (i % 3 == 1) {
                    account.closed(use);
                }
                account.release(body);
                answer(use);
                account.closed(use);
            }
        }

        assertThat(closings, is(empty()));
        assertThat(account.heldBytes(), is(0L));
        assertThat(account.connections(), is(0));
    }

    /** Connections that callers keep open between requests were to stay open for the idle time only. */
    @Test
    void idleConnectionIsClosedAfterTheIdleTime() {
        ConnectionUse use = open("10.0.0.1");
        head(use);
        account.bodyEnded(use, now());
        answer(use);
        millis += 60_000;
        check();
        assertThat(closings, is(empty()));
        millis += 1;
        check();

        assertThat(reasons(), is(List.of(Refusal.IDLE)));
    }

    /** A caller that does not read its answer kept its connection and what it had sent since. */
    @Test
    void connectionWithAnUnreadAnswerIsClosedAfterATime() {
        ConnectionUse use = open("10.0.0.1");
        head(use);
        account.bodyEnded(use, now());
        account.answerWritten(use, 500, now());
        close(account.undecoded(use, 0, 8_000, now()));
        assertThat(account.heldBytes(), is(8_500L));
        millis += 3_000;
        check();
        assertThat(closings, is(empty()));
        millis += 1;
        check();

        assertThat(reasons(), is(List.of(Refusal.ANSWER_UNREAD)));
        assertThat(account.heldBytes(), is(0L));
    }

    /** Callers that do not read their answers were never closed for what they hold. */
    @Test
    void unreadAnswersGiveWayUnderPressure() {
        ConnectionUse unread = open("10.0.0.1");
        head(unread);
        account.bodyEnded(unread, now());
        account.answerWritten(unread, 600_000, now());
        millis += 2_000;
        for (int i = 0; i < 6; i++) {
            body(open("10.0.1." + i), LARGE_CHUNK_BYTES);
        }

        assertThat(reasons(), is(List.of(Refusal.MEMORY)));
        assertThat(unread.closing, is(true));
    }

    /** Heads that are held while their jobs run kept out all other callers, each of which was closed instead. */
    @Test
    void largeHeadsOfRunningJobsGiveWayToOrdinaryRequests() {
        List<ConnectionUse> running = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ConnectionUse use = open("10.0.0." + i);
            running.add(use);
            close(account.received(use, HEAD_BYTES, 0, now()));
            close(account.headRead(use, HEAD_BYTES, 499_000, now()));
            account.bodyEnded(use, now());
        }
        millis += 100;
        ConnectionUse ordinary = open("10.0.1.1");
        head(ordinary);
        chunk(ordinary, 10_000);

        assertThat(ordinary.closing, is(false));
        assertThat(running.stream().filter(use -> use.closing).count(), is(1L));
    }

    /** Connections that are to be closed hold their memory until they are, and others filled the heap meanwhile. */
    @Test
    void nothingIsDecodedWhileWhatIsClosedMakesUpTheBound() {
        for (int i = 0; i < 9; i++) {
            ConnectionUse use = account.open("10.0.0." + i, reason -> {}, now()).connection();
            account.received(use, HEAD_BYTES, 0, now());
            closings.addAll(account.undecoded(use, HEAD_BYTES, BODY_BYTES, now()));
        }
        assertThat(reasons(), is(not(empty())));
        assertThat(account.isFull(), is(true));

        account.dropped(closings.get(0).connection(), 0);
        account.closed(closings.get(1).connection());
        assertThat(account.isFull(), is(false));
    }

    /** Limits of the configuration were ignored. */
    @Test
    void limitsOfTheConfigurationTakePrecedenceAndOthersStay() {
        account.configure(new RequestLimits.Configured(
                OptionalInt.of(100), OptionalInt.empty(), OptionalInt.of(500), OptionalInt.empty()));

        assertThat(account.limits().request(), is(new RequestLimits(100, 262_144, 500, 60_000, 2_000, 3_000, 4_096)));
        account.configure(RequestLimits.Configured.NONE);
        assertThat(account.limits(), is(LIMITS));
    }

    /** The default limits bite in ordinary use: a balancer with 800 connections, bodies of 10 KB that all arrive at once. */
    @Test
    void defaultsAdmitABalancerWhoseConnectionsAllSendAtOnce() {
        CallerAccount defaults = new CallerAccount(CallerLimits.DEFAULT);
        for (int i = 0; i < 800; i++) {
            CallerAccount.Opened opened = defaults.open("10.0.0.1", reason -> {}, now());
            closings.addAll(opened.closings());
            ConnectionUse use = opened.connection();
            closings.addAll(defaults.received(use, HEAD_BYTES, 0, now()));
            closings.addAll(defaults.undecoded(use, HEAD_BYTES, 8_192, now()));
            closings.addAll(defaults.headRead(use, HEAD_BYTES, HEAD_BYTES, now()));
            closings.addAll(defaults.holdBody(use, 16_384, now()));
        }

        assertThat(closings, is(empty()));
    }
}
