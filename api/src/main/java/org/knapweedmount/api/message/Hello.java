package org.knapweedmount.api.message;

import org.knapweedmount.api.PeerAddress;

/**
 * The first message of a link, in both directions.
 *
 * @param protocolVersion the version of the message formats that the sender uses
 * @param sender the sender and where it listens
 */
public record Hello(int protocolVersion, PeerAddress sender) implements Message {
    /** The version of the message formats of this build. */
    public static final int PROTOCOL_VERSION = 2;
}
