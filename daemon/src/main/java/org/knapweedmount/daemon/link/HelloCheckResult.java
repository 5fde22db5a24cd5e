package org.knapweedmount.daemon.link;

import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Hello;

/** The result of checking the hello message of a connection. */
enum HelloCheckResult {
    /** The connection becomes a link. */
    ACCEPT,
    /** The peer uses another protocol version. */
    OTHER_VERSION,
    /** The peer is this process. */
    SELF,
    /** Processes of these roles have no link, or the link is opened from the other side. */
    WRONG_ROLE,
    /** The dialler is an agent of another region; agents link only to entries of their own region. */
    OTHER_REGION,
    /**
     * The connection was opened by the wrong entry; of two entries the one with the lesser incarnation opens the link.
     */
    WRONG_DIRECTION;

    /**
     * Checks a hello message.
     *
     * @param self this process
     * @param hello the hello message of the peer
     * @param dialled true if this process opened the connection
     * @return the result, which is the same at both ends
     */
    static HelloCheckResult check(PeerAddress self, Hello hello, boolean dialled) {
        PeerAddress peer = hello.sender();
        if (hello.protocolVersion() != Hello.PROTOCOL_VERSION) {
            return OTHER_VERSION;
        }
        if (peer.incarnation().equals(self.incarnation())) {
            return SELF;
        }
        Role dialler = dialled ? self.role() : peer.role();
        Role listener = dialled ? peer.role() : self.role();
        if (listener != Role.ENTRY) {
            return WRONG_ROLE;
        }
        if (dialler == Role.AGENT && !self.sharesRegionWith(peer)) {
            return OTHER_REGION;
        }
        if (dialler == Role.ENTRY && isDialler(self, peer) != dialled) {
            return WRONG_DIRECTION;
        }
        return ACCEPT;
    }

    /**
     * Returns whether this process opens the link to a peer.
     *
     * @param self this process
     * @param peer the other process
     * @return true if this process does
     */
    static boolean isDialler(PeerAddress self, PeerAddress peer) {
        if (self.role() != peer.role()) {
            return self.role() == Role.AGENT;
        }
        return self.incarnation().compareTo(peer.incarnation()) < 0;
    }
}
