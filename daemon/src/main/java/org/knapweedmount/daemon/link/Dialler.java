package org.knapweedmount.daemon.link;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.settings.HostPort;

/**
 * Connects to target addresses with backoff between attempts, and connects again after a connection has closed.
 *
 * <p>A permanent target is never dropped. A known target is dropped when it has been unreachable and has not been
 * reported for {@link #KNOWN_TARGET_TTL_NANOS}; an on-demand target is dropped after
 * {@link #ON_DEMAND_TARGET_TTL_NANOS}.
 *
 * <p>Confined to the event loop.
 */
final class Dialler {
    private static final int CONNECT_TIMEOUT_MILLIS = 400; // longer than a round trip between any two regions
    private static final long KNOWN_TARGET_TTL_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final long ON_DEMAND_TARGET_TTL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Vertx vertx;
    private final NetClient client;
    private final NanoClock clock;
    private final Counters<LinkCounter> counters;
    private final Random random;
    private final Predicate<HostPort> isLinked;
    private final Listener listener;
    private final Map<HostPort, Target> targets = new LinkedHashMap<>();
    private boolean closed;

    /** Receives the open connections. */
    @FunctionalInterface
    interface Listener {
        void connected(NetSocket socket, HostPort target);
    }

    private static final class Target {
        private final HostPort address;
        private final Backoff backoff;
        private boolean permanent;
        private boolean known;
        private long expiryNanos;

        private Target(HostPort address, Backoff backoff) {
            this.address = address;
            this.backoff = backoff;
        }
    }

    Dialler(
            Vertx vertx,
            NanoClock clock,
            Counters<LinkCounter> counters,
            long seed,
            Predicate<HostPort> isLinked,
            Listener listener) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
        this.random = new Random(seed);
        this.isLinked = isLinked;
        this.listener = listener;
        this.client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    }

    /** Adds a target, which is never dropped if it is permanent; restarts the time to live of a known target. */
    void addTarget(HostPort address, boolean permanent) {
        Target target = getOrAdd(address);
        target.permanent |= permanent;
        target.known = true;
        target.expiryNanos = clock.nanos() + KNOWN_TARGET_TTL_NANOS;
    }

    /** Adds a target that is needed now but is not kept. */
    void addOnDemandTarget(HostPort address) {
        Target target = getOrAdd(address);
        long expiryNanos = clock.nanos() + ON_DEMAND_TARGET_TTL_NANOS;
        if (!target.known || expiryNanos - target.expiryNanos > 0) {
            target.expiryNanos = expiryNanos;
        }
    }

    private Target getOrAdd(HostPort address) {
        Target target = targets.get(address);
        if (target == null) {
            target = new Target(address, new Backoff(random));
            targets.put(address, target);
            Target added = target;
            vertx.runOnContext(ignored -> connect(added));
        }
        return target;
    }

    /** Restarts the backoff of a target after a link to it has been stable. */
    void resetBackoff(HostPort address) {
        Target target = targets.get(address);
        if (target != null) {
            target.backoff.reset();
        }
    }

    /** Removes a target that must not be dialled, for instance the address of this process. */
    void removeTarget(HostPort address) {
        targets.remove(address);
    }

    /** Makes the next pause a long one, because the peer opens the link or no link is needed at present. */
    void useLongPause(HostPort address) {
        Target target = targets.get(address);
        if (target != null) {
            target.backoff.useLongPause();
        }
    }

    /** Schedules another attempt after a connection to the target has closed. */
    void connectionEnded(HostPort address) {
        Target target = targets.get(address);
        if (target != null) {
            retry(target);
        }
    }

    private void connect(Target target) {
        if (closed || targets.get(target.address) != target) {
            return;
        }
        if (isLinked.test(target.address)) {
            extendLifetime(target);
            retry(target);
            return;
        }
        HostPort address = target.address;
        client.connect(address.port(), address.host()).onComplete(result -> connectCompleted(target, result));
    }

    private void extendLifetime(Target target) {
        if (target.known) {
            target.expiryNanos = clock.nanos() + KNOWN_TARGET_TTL_NANOS;
        }
    }

    private void connectCompleted(Target target, AsyncResult<NetSocket> result) {
        if (result.failed()) {
            counters.increment(LinkCounter.DIAL_FAILURES);
            retry(target);
            return;
        }
        if (closed) {
            result.result().close();
            return;
        }
        listener.connected(result.result(), target.address);
    }

    private void retry(Target target) {
        long nowNanos = clock.nanos();
        if (closed) {
            return;
        }
        if (!target.permanent && nowNanos - target.expiryNanos > 0) {
            targets.remove(target.address);
            return;
        }
        vertx.setTimer(target.backoff.nextPauseMillis(), timer -> connect(target));
    }

    void close() {
        closed = true;
        client.close();
    }
}
