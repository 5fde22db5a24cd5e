package org.knapweedmount.daemon.link;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.PeerAddress;

/** Checks links for timeouts and overflow, without changing them. */
final class LinkInspector {
    private static final long HELLO_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PeerAddress self;
    private final int maxQueuedBytes;
    private final long receiveTimeoutNanos;
    private final long idleTimeoutNanos;

    /**
     * Creates an inspector.
     *
     * @param self this process; links to other regions are subject to the idle timeout
     * @param options the limits of the links
     */
    LinkInspector(PeerAddress self, LinkOptions options) {
        this.self = self;
        this.maxQueuedBytes = options.maxQueuedBytes();
        this.receiveTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(options.receiveTimeoutMillis());
        this.idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(options.idleTimeoutMillis());
    }

    /**
     * Returns why a link has to be closed.
     *
     * @param nowNanos the current time, in ns
     * @return the counter of the reason, empty if the link stays open
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
