package org.knapweedmount.daemon.link;

import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Hello;

/** What becomes of a connection when the other end has said hello. */
enum HelloCheckResult {
    /** The connection becomes a link. */
    ACCEPT,
    /** The other end uses other message formats. */
    OTHER_VERSION,
    /** The other end is this process. */
    SELF,
    /** There are no links between processes of these roles, or not opened from this side. */
    WRONG_ROLE,
    /** Agents have links to the entries of their own region only. */
    OTHER_REGION,
    /** Of two entries the one with the lesser incarnation opens the link, and this is the other one's connection. */
    WRONG_DIRECTION;

    /**
     * Judges a hello.
     *
     * @param self this process
     * @param hello what the other end said
     * @param dialled true if this process opened the connection
     * @return the verdict, by which both ends come to the same end
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
     * Tells which of two processes opens the link between them.
     *
     * @param self this process
     * @param peer the other one
     * @return true if this process does
     */
    static boolean isDialler(PeerAddress self, PeerAddress peer) {
        if (self.role() != peer.role()) {
            return self.role() == Role.AGENT;
        }
        return self.incarnation().compareTo(peer.incarnation()) < 0;
    }
}
