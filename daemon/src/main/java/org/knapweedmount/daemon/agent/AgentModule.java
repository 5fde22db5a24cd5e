package org.knapweedmount.daemon.agent;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.core.agent.AgentCore;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.daemon.ticket.AuditAction;
import org.tinylog.Logger;
import org.tinylog.TaggedLogger;

/** State owned by the decision thread of an agent: the core and the configuration in force. */
final class AgentModule {
    private static final TaggedLogger AUDIT = Logger.tag("audit");

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
            apply(update, from, nowNanos);
        }
        if (message instanceof Peers known) {
            known.entries().forEach(links::addKnownEntry);
        }
        core.receive(from, message, nowNanos);
    }

    private static void auditApplied(Ticket ticket, List<ConfigKey> keys, Incarnation from) {
        if (!keys.isEmpty()) {
            AUDIT.info(
                    "action={} number={} who=\"{}\" detail=\"{} from {}\"",
                    AuditAction.APPLIED.text(),
                    ticket.number(),
                    ticket.author(),
                    keys,
                    from);
        }
    }

    private void apply(ConfigUpdate update, Incarnation from, long nowNanos) {
        long numberBefore = config.highestNumber();
        boolean changed = false;
        for (Ticket ticket : update.tickets()) {
            List<ConfigKey> keys = config.apply(ticket);
            changed |= !keys.isEmpty();
            auditApplied(ticket, keys, from);
        }
        if (changed) {
            core.configChanged(nowNanos);
        }
        if (config.highestNumber() > numberBefore) {
            appliedNumber.set(config.highestNumber());
            ConfigApplied applied = new ConfigApplied(config.highestNumber());
            links.peers().forEach(entry -> links.send(entry.incarnation(), applied));
        }
    }
}
