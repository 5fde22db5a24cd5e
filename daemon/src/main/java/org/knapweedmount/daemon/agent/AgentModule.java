package org.knapweedmount.daemon.agent;

import java.util.concurrent.atomic.AtomicLong;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.core.agent.AgentCore;
import org.knapweedmount.core.config.ConfigState;

/** What the decision thread of an agent works on: the decisions and the configuration that they read. */
final class AgentModule {
    private final AgentCore core;
    private final ConfigState config;
    private final Links links;
    private final AtomicLong appliedNumber;

    AgentModule(AgentCore core, ConfigState config, Links links, AtomicLong appliedNumber) {
        this.core = core;
        this.config = config;
        this.links = links;
        this.appliedNumber = appliedNumber;
    }

    AgentCore core() {
        return core;
    }

    void linked(PeerAddress entry, long nowNanos) {
        core.linked(entry, nowNanos);
        if (config.highestNumber() > 0) {
            links.send(entry.incarnation(), new ConfigApplied(config.highestNumber()));
        }
    }

    void unlinked(Incarnation entry, long nowNanos) {
        core.unlinked(entry, nowNanos);
    }

    void received(Incarnation from, Message message, long nowNanos) {
        if (message instanceof ConfigUpdate update) {
            apply(update, nowNanos);
        }
        if (message instanceof Peers known) {
            known.entries().forEach(links::know);
        }
        core.receive(from, message, nowNanos);
    }

    private void apply(ConfigUpdate update, long nowNanos) {
        long before = config.highestNumber();
        boolean changed = false;
        for (Ticket ticket : update.tickets()) {
            changed |= !config.apply(ticket).isEmpty();
        }
        if (changed) {
            core.configChanged(nowNanos);
        }
        if (config.highestNumber() > before) {
            appliedNumber.set(config.highestNumber());
            ConfigApplied applied = new ConfigApplied(config.highestNumber());
            links.peers().forEach(entry -> links.send(entry.incarnation(), applied));
        }
    }
}
