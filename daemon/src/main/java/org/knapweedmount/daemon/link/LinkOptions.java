package org.knapweedmount.daemon.link;

import org.knapweedmount.wire.WireLimits;

/**
 * What bounds the links of a process.
 *
 * @param heartbeatMillis after how long without another message a heartbeat is sent, in ms; all processes have the same
 * @param maxLinks the number of connections that are open at a time
 * @param maxFrameBytes the largest frame that is accepted, in bytes
 * @param maxQueuedBytes the size of the messages waiting to be sent on one link that is tolerated for a while, in bytes
 * @param ringSize the number of messages that the decision thread can hand over at a time, a power of two
 * @param idleMillis after how long without a request a link to another region is closed, in ms
 * @param seed the seed of the jitter between attempts to connect
 */
public record LinkOptions(
        int heartbeatMillis,
        int maxLinks,
        int maxFrameBytes,
        int maxQueuedBytes,
        int ringSize,
        int idleMillis,
        long seed) {
    private static final int IDLE_MILLIS = 60_000;
    private static final int ENTRY_LINKS = 20_000;
    private static final int ENTRY_QUEUED_BYTES = 16 * 1024 * 1024;
    private static final int ENTRY_RING_SIZE = 64 * 1024;
    private static final int AGENT_LINKS = 1_000;
    private static final int AGENT_FRAME_BYTES = WireLimits.MAX_PAYLOAD_BYTES + 256 * 1024;
    private static final int AGENT_QUEUED_BYTES = 1024 * 1024;
    private static final int AGENT_RING_SIZE = 1024;

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
                ENTRY_LINKS,
                WireLimits.MAX_FRAME_BYTES,
                ENTRY_QUEUED_BYTES,
                ENTRY_RING_SIZE,
                IDLE_MILLIS,
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
                AGENT_LINKS,
                AGENT_FRAME_BYTES,
                AGENT_QUEUED_BYTES,
                AGENT_RING_SIZE,
                IDLE_MILLIS,
                seed);
    }
}
