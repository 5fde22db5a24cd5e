package org.knapweedmount.daemon.link;

/** The counters of the links of a process. */
public enum LinkCounter {
    /** Links established by an accepted hello. */
    LINKED,
    /** Established links that were closed or could not be reported to the decision thread. */
    UNLINKED,
    /** Messages sent. */
    SENT_MESSAGES,
    /** Bytes sent. */
    SENT_BYTES,
    /** Messages received. */
    RECEIVED_MESSAGES,
    /** Bytes received. */
    RECEIVED_BYTES,
    /** Messages dropped because there is no link to the receiver. */
    UNLINKED_SENDS,
    /** Messages dropped because they exceed the limits of the wire format. */
    OVERSIZED_SENDS,
    /** Failed attempts to connect. */
    DIAL_FAILURES,
    /** Connections closed by the peer or by the network. */
    CLOSED_BY_PEER,
    /** Connections closed because this process stops. */
    CLOSED_LOCALLY,
    /** Connections closed because the limit of open connections was exceeded. */
    CLOSED_EXCESS,
    /** Connections closed because the hello was missing, unexpected or rejected. */
    CLOSED_HELLO,
    /** Connections closed because of an invalid frame. */
    CLOSED_BAD_FRAME,
    /** Connections closed because nothing was received within the receive timeout. */
    CLOSED_SILENT,
    /** Connections to other regions closed because no request used them within the idle timeout. */
    CLOSED_IDLE,
    /** Connections closed because the peer did not read fast enough or a message for them was lost. */
    CLOSED_OVERFLOW,
    /** Connections closed because the ring buffer of the decision thread was full. */
    CLOSED_RING_FULL
}
