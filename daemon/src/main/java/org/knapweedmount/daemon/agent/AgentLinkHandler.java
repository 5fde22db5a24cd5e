package org.knapweedmount.daemon.agent;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.link.LinkHandler;

/** Passes link events to the decision module of the agent. */
final class AgentLinkHandler implements LinkHandler<AgentModule> {
    private final AdaptiveTicker<AgentModule> ticker;

    AgentLinkHandler(AdaptiveTicker<AgentModule> ticker) {
        this.ticker = ticker;
    }

    @Override
    public void linked(AgentModule module, PeerAddress peer, long nowNanos) {
        module.linked(peer, nowNanos);
    }

    @Override
    public void unlinked(AgentModule module, Incarnation peer, long nowNanos) {
        module.unlinked(peer, nowNanos);
    }

    @Override
    public void received(AgentModule module, Incarnation from, Message message, long nowNanos) {
        module.received(from, message, nowNanos);
        ticker.wake(module);
    }
}
