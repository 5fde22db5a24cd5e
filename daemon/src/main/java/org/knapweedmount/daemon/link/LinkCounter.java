package org.knapweedmount.daemon.link;

/** What is counted on the links of a process. */
public enum LinkCounter {
    /** Links on which both sides have said hello. */
    LINKED,
    /** Links that ended after both sides had said hello. */
    UNLINKED,
    /** Messages sent. */
    SENT_MESSAGES,
    /** Bytes sent. */
    SENT_BYTES,
    /** Messages received. */
    RECEIVED_MESSAGES,
    /** Bytes received. */
    RECEIVED_BYTES,
    /** Messages dropped because their receiver is not linked. */
    UNLINKED_SENDS,
    /** Messages dropped because they are over the limits of the format. */
    OVERSIZED_SENDS,
    /** Attempts to connect that failed. */
    DIAL_FAILURES,
    /** Connections closed because the other end closed them or the network did. */
    CLOSED_BY_PEER,
    /** Connections closed because this process closes all. */
    CLOSED_LOCALLY,
    /** Connections closed because there were too many. */
    CLOSED_EXCESS,
    /** Connections closed because the hello was missing, of another version, or not acceptable. */
    CLOSED_HELLO,
    /** Connections closed because a frame was no message. */
    CLOSED_BAD_FRAME,
    /** Connections closed because nothing was received for long. */
    CLOSED_SILENT,
    /** Connections to other regions closed because nothing was asked over them for a while. */
    CLOSED_IDLE,
    /** Connections closed because the other end did not read fast enough. */
    CLOSED_OVERFLOW,
    /** Connections closed because the decision thread could not take a message. */
    CLOSED_RING_FULL
}
