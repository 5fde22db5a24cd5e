package org.knapweedmount.daemon.entry;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.link.LinkHandler;

/** Passes link events to the decision module of the entry. */
final class EntryLinkHandler implements LinkHandler<EntryModule> {
    @Override
    public void linked(EntryModule module, PeerAddress peer, long nowNanos) {
        module.linked(peer, nowNanos);
    }

    @Override
    public void unlinked(EntryModule module, Incarnation peer, long nowNanos) {
        module.unlinked(peer, nowNanos);
    }

    @Override
    public void received(EntryModule module, Incarnation from, Message message, long nowNanos) {
        module.received(from, message, nowNanos);
    }
}
