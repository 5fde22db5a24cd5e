package org.knapweedmount.daemon.link;

import org.knapweedmount.wire.WireLimits;

/**
 * The limits and timeouts of the links of a process.
 *
 * @param heartbeatMillis the time without another message after which a heartbeat is sent, in ms; must be the same in
 *     all processes
 * @param receiveTimeoutMillis the time without any message after which a link is closed, in ms; several heartbeats
 * @param maxLinks the largest number of open connections
 * @param maxFrameBytes the largest accepted frame, in bytes
 * @param maxQueuedBytes the size of the send queue of one link that must not be exceeded for longer than a stall
 *     timeout, in bytes
 * @param outboxRingSize the capacity of the outbox in messages, a power of two
 * @param idleTimeoutMillis the time without requests after which a link to another region is closed, in ms
 * @param seed the seed of the jitter of the reconnection backoff
 */
public record LinkOptions(
        int heartbeatMillis,
        int receiveTimeoutMillis,
        int maxLinks,
        int maxFrameBytes,
        int maxQueuedBytes,
        int outboxRingSize,
        int idleTimeoutMillis,
        long seed) {
    private static final int RECEIVE_TIMEOUT_HEARTBEATS = 10;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int ENTRY_MAX_LINKS = 20_000;
    private static final int ENTRY_MAX_QUEUED_BYTES = 16 * 1024 * 1024;
    private static final int ENTRY_OUTBOX_RING_SIZE = 64 * 1024;
    private static final int AGENT_MAX_LINKS = 1_000;
    private static final int AGENT_MAX_FRAME_BYTES = WireLimits.MAX_PAYLOAD_BYTES + 256 * 1024;
    private static final int AGENT_MAX_QUEUED_BYTES = 1024 * 1024;
    private static final int AGENT_OUTBOX_RING_SIZE = 1024;

    /**
     * Creates the limits of an entry, which has links to all agents and entries.
     *
     * @param heartbeatMillis the time without another message after which a heartbeat is sent, in ms
     * @param seed the seed of the jitter of the reconnection backoff
     * @return the limits
     */
    public static LinkOptions entry(int heartbeatMillis, long seed) {
        return new LinkOptions(
                heartbeatMillis,
                RECEIVE_TIMEOUT_HEARTBEATS * heartbeatMillis,
                ENTRY_MAX_LINKS,
                WireLimits.MAX_FRAME_BYTES,
                ENTRY_MAX_QUEUED_BYTES,
                ENTRY_OUTBOX_RING_SIZE,
                IDLE_TIMEOUT_MILLIS,
                seed);
    }

    /**
     * Creates the limits of an agent, which has a small heap and links to the entries only.
     *
     * @param heartbeatMillis the time without another message after which a heartbeat is sent, in ms
     * @param seed the seed of the jitter of the reconnection backoff
     * @return the limits
     */
    public static LinkOptions agent(int heartbeatMillis, long seed) {
        return new LinkOptions(
                heartbeatMillis,
                RECEIVE_TIMEOUT_HEARTBEATS * heartbeatMillis,
                AGENT_MAX_LINKS,
                AGENT_MAX_FRAME_BYTES,
                AGENT_MAX_QUEUED_BYTES,
                AGENT_OUTBOX_RING_SIZE,
                IDLE_TIMEOUT_MILLIS,
                seed);
    }

    /**
     * Returns these options with another receive timeout.
     *
     * @param millis the time without any message after which a link is closed, in ms
     * @return the changed copy
     */
    public LinkOptions withReceiveTimeout(int millis) {
        return new LinkOptions(
                heartbeatMillis,
                millis,
                maxLinks,
                maxFrameBytes,
                maxQueuedBytes,
                outboxRingSize,
                idleTimeoutMillis,
                seed);
    }
}
