package org.knapweedmount.daemon.link;

/** Intervals and bounds of the links between entries and agents of workers, which have to be the same in both. */
public final class LinkTimings {
    /** The time without another message after which a heartbeat is sent, in ms. */
    public static final int HEARTBEAT_MILLIS = 300;

    /** The time without any message after which a link is closed, in ms; the leases of runs have ended before. */
    public static final int RECEIVE_TIMEOUT_MILLIS = 1_500;

    /** How long a process that stops waits until its last messages are written, in ms. */
    public static final int CLOSE_LIMIT_MILLIS = 100;

    private LinkTimings() {}
}
