package org.knapweedmount.daemon.link;

import org.knapweedmount.wire.WireLimits;

/**
 * What bounds the links of a process.
 *
 * @param heartbeatMillis after how long without another message a heartbeat is sent, in ms; all processes have the same
 * @param maxLinks the number of connections that are open at a time
 * @param maxFrameBytes the largest frame that is accepted, in bytes
 * @param maxQueuedBytes the size of the messages waiting to be sent on one link that is tolerated for a while, in bytes
 * @param outboxRingSize the number of messages that the decision thread can hand over at a time, a power of two
 * @param idleTimeoutMillis after how long without a request a link to another region is closed, in ms
 * @param seed the seed of the jitter between attempts to connect
 */
public record LinkOptions(
        int heartbeatMillis,
        int maxLinks,
        int maxFrameBytes,
        int maxQueuedBytes,
        int outboxRingSize,
        int idleTimeoutMillis,
        long seed) {
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int ENTRY_MAX_LINKS = 20_000;
    private static final int ENTRY_MAX_QUEUED_BYTES = 16 * 1024 * 1024;
    private static final int ENTRY_OUTBOX_RING_SIZE = 64 * 1024;
    private static final int AGENT_MAX_LINKS = 1_000;
    private static final int AGENT_MAX_FRAME_BYTES = WireLimits.MAX_PAYLOAD_BYTES + 256 * 1024;
    private static final int AGENT_MAX_QUEUED_BYTES = 1024 * 1024;
    private static final int AGENT_OUTBOX_RING_SIZE = 1024;

    /**
     * Creates the bounds of an entry, which has links to all agents and entries.
     *
     * @param heartbeatMillis after how long without another message a heartbeat is sent, in ms
     * @param seed the seed of the jitter between attempts to connect
     * @return the bounds
     */
    public static LinkOptions entry(int heartbeatMillis, long seed) {
        return new LinkOptions(
                heartbeatMillis,
                ENTRY_MAX_LINKS,
                WireLimits.MAX_FRAME_BYTES,
                ENTRY_MAX_QUEUED_BYTES,
                ENTRY_OUTBOX_RING_SIZE,
                IDLE_TIMEOUT_MILLIS,
                seed);
    }

    /**
     * Creates the bounds of an agent, which has a small heap and links to the entries.
     *
     * @param heartbeatMillis after how long without another message a heartbeat is sent, in ms
     * @param seed the seed of the jitter between attempts to connect
     * @return the bounds
     */
    public static LinkOptions agent(int heartbeatMillis, long seed) {
        return new LinkOptions(
                heartbeatMillis,
                AGENT_MAX_LINKS,
                AGENT_MAX_FRAME_BYTES,
                AGENT_MAX_QUEUED_BYTES,
                AGENT_OUTBOX_RING_SIZE,
                IDLE_TIMEOUT_MILLIS,
                seed);
    }
}
