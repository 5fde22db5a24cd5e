package org.knapweedmount.api.message;

import org.knapweedmount.api.PeerAddress;

/**
 * The first message on a link, in both directions.
 *
 * @param protocolVersion the version of the message formats that the sender uses
 * @param sender the address of the sender
 */
public record Hello(int protocolVersion, PeerAddress sender) implements Message {
    /** The version of the message formats in this build. */
    public static final int PROTOCOL_VERSION = 7;
}
