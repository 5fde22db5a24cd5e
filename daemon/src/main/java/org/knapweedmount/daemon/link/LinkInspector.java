package org.knapweedmount.daemon.link;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.PeerAddress;

/** Decides which links no longer serve; it looks at them and changes nothing. */
final class LinkInspector {
    private static final long HELLO_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int RECEIVE_TIMEOUT_HEARTBEATS = 10;

    private final PeerAddress self;
    private final int maxQueuedBytes;
    private final long receiveTimeoutNanos;
    private final long idleTimeoutNanos;

    /**
     * Creates an inspector.
     *
     * @param self this process, whose region tells which links are needed only now and then
     * @param options what bounds the links
     */
    LinkInspector(PeerAddress self, LinkOptions options) {
        this.self = self;
        this.maxQueuedBytes = options.maxQueuedBytes();
        this.receiveTimeoutNanos =
                RECEIVE_TIMEOUT_HEARTBEATS * TimeUnit.MILLISECONDS.toNanos(options.heartbeatMillis());
        this.idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(options.idleTimeoutMillis());
    }

    /**
     * Tells why a link is to be closed.
     *
     * @param nowNanos the present time
     * @return what its end is counted as, empty if it is to stay open
     */
    Optional<LinkCounter> closeReason(Link link, long nowNanos) {
        if (link.hasLostMessage() || link.isStalled(maxQueuedBytes, STALL_TIMEOUT_NANOS, nowNanos)) {
            return Optional.of(LinkCounter.CLOSED_OVERFLOW);
        }
        if (nowNanos - link.lastReceivedNanos() > receiveTimeoutNanos) {
            return Optional.of(LinkCounter.CLOSED_SILENT);
        }
        if (link.peer().isEmpty()) {
            boolean late = nowNanos - link.openedNanos() > HELLO_TIMEOUT_NANOS;
            return late ? Optional.of(LinkCounter.CLOSED_HELLO) : Optional.empty();
        }
        boolean remote = !self.sharesRegionWith(link.peer().get());
        boolean idle = remote && nowNanos - link.lastUsedNanos() > idleTimeoutNanos;
        return idle ? Optional.of(LinkCounter.CLOSED_IDLE) : Optional.empty();
    }
}
