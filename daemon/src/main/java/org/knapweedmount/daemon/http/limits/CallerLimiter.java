package org.knapweedmount.daemon.http.limits;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.AttributeKey;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.http.ConnectionFailureLogger;
import org.knapweedmount.daemon.http.limits.CallerAccount.Closing;
import org.knapweedmount.daemon.http.limits.CallerAccount.Opened;
import org.knapweedmount.daemon.metrics.ProcessMetrics;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.tinylog.Logger;

/** Applies the limits for callers to an HTTP server, as its handler of new connections. Thread-safe. */
public final class CallerLimiter implements Handler<HttpConnection> {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final AttributeKey<ConnectionGuard> GUARD = AttributeKey.valueOf("knapweedmount-connection-guard");

    private final NanoClock clock;
    private final HeadFilter headFilter;
    private final CallerAccount account;
    private final Counters<Refusal> refusals = new Counters<>(Refusal.class);
    private final Map<EventLoop, ResumeQueue> resumeQueues = new ConcurrentHashMap<>();
    private final Optional<AcceptPacer> pacer;
    private long loggedNanos;
    private long loggedRefusals;

    /**
     * Creates a limiter without connections.
     *
     * @param limits the limits
     * @param clock the monotonic clock
     * @param paceAccepts true to accept connections only as fast as they are counted; for a server that reports each
     *     connection before it sends anything
     * @param headersRead the names of the header fields that the server reads besides those of the protocol; others may be
     *     missing
     */
    public CallerLimiter(CallerLimits limits, NanoClock clock, boolean paceAccepts, List<String> headersRead) {
        this.clock = clock;
        this.headFilter = new HeadFilter(headersRead);
        this.pacer = paceAccepts ? Optional.of(new AcceptPacer()) : Optional.empty();
        this.account = new CallerAccount(limits);
        this.loggedNanos = clock.nanos() - LOG_INTERVAL_NANOS;
    }

    /**
     * Starts to close connections whose requests make no progress.
     *
     * @param vertx runs the timer
     * @param intervalMillis the time between checks, in ms
     */
    public void start(Vertx vertx, int intervalMillis) {
        vertx.setPeriodic(intervalMillis, timer -> check());
    }

    private void check() {
        execute(account.overdue(clock.nanos()));
        logRefusals();
    }

    private void logRefusals() {
        long total = 0;
        StringBuilder counts = new StringBuilder();
        for (Refusal reason : Refusal.values()) {
            long count = refusals.value(reason);
            if (reason != Refusal.IDLE && count > 0) {
                total += count;
                String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
                counts.append(' ').append(name).append('=').append(count);
            }
        }
        long nowNanos = clock.nanos();
        if (total == loggedRefusals || nowNanos - loggedNanos < LOG_INTERVAL_NANOS) {
            return;
        }
        loggedNanos = nowNanos;
        loggedRefusals = total;
        Logger.warn(
                "event=callers-refused held-bytes={} connections={}{}",
                account.heldBytes(),
                account.connections(),
                counts);
    }

    /**
     * Replaces the limits that a configuration states.
     *
     * @param configured the limits of the configuration
     */
    public void configure(RequestLimits.Configured configured) {
        CallerLimits before = account.limits();
        account.configure(configured);
        if (!before.equals(account.limits())) {
            Logger.info("event=caller-limits-configured {}", account.limits().request());
        }
    }

    @Override
    public void handle(HttpConnection connection) {
        ConnectionFailureLogger.INSTANCE.handle(connection);
        if (!(connection instanceof ConnectionBase base)) {
            return;
        }
        Channel channel = base.channel();
        Opened opened = account.open(
                connection.remoteAddress().hostAddress(), reason -> refuse(channel, reason), clock.nanos());
        ConnectionUse use = opened.connection();
        ResumeQueue resumeQueue = resumeQueues.computeIfAbsent(channel.eventLoop(), ResumeQueue::new);
        ConnectionGuard guard = new ConnectionGuard(this, account, channel, use, resumeQueue);
        channel.attr(GUARD).set(guard);
        guard.install(base.channelHandlerContext().name());
        channel.closeFuture().addListener(closed -> account.closed(use));
        execute(opened.closings());
        pacer.ifPresent(accepting -> accepting.connected(channel));
    }

    private static void refuse(Channel channel, Refusal reason) {
        channel.attr(GUARD).get().refuse(reason);
    }

    /**
     * Receives the body of a request. Must be called on the event loop of the request, before its handler returns.
     *
     * @param request the request, of a connection that this limiter handled
     * @return the body; fails if the connection is closed, with or without a refusal
     */
    public Future<ReceivedBody> receive(HttpServerRequest request) {
        return ((ConnectionBase) request.connection())
                .channel()
                .attr(GUARD)
                .get()
                .body();
    }

    /**
     * Registers the metrics of the limits.
     *
     * @param metrics the registry
     */
    public void register(ProcessMetrics metrics) {
        metrics.gauge("callers.held.bytes", "Memory held for requests and answers, in bytes", account::heldBytes);
        metrics.gauge("callers.connections", "Open connections of callers", account::connections);
        metrics.counters("callers.refused", Refusal.class, refusals);
    }

    /** Closes connections, each with its reason. */
    void execute(List<Closing> closings) {
        for (Closing closing : closings) {
            refusals.increment(closing.reason());
            closing.connection().closer.accept(closing.reason());
        }
    }

    long nanos() {
        return clock.nanos();
    }

    HeadFilter headFilter() {
        return headFilter;
    }
}
