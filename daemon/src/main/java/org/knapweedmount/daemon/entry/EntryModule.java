package org.knapweedmount.daemon.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.entry.EntryCore;
import org.knapweedmount.daemon.http.CallerDecisions;
import org.knapweedmount.daemon.store.KnownEntries;
import org.knapweedmount.daemon.ticket.TicketService;

/**
 * What the decision thread of an entry owns: the core, the configuration in force and what is known of other entries.
 *
 * <p>Used on the decision thread.
 */
final class EntryModule {
    private static final long READINESS_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EntryCore core;
    private final CallerDecisions callers;
    private final ConfigDistributor distributor;
    private final EntryPeers peers;
    private final TicketService tickets;
    private final Readiness readiness;
    private long readinessNanos;

    EntryModule(
            EntryCore core,
            ConfigState config,
            ConfigDistributor distributor,
            EntryPeers peers,
            TicketService tickets,
            Readiness readiness,
            long nowNanos) {
        this.core = core;
        this.callers = new CoreDecisions(core, config);
        this.distributor = distributor;
        this.peers = peers;
        this.tickets = tickets;
        this.readiness = readiness;
        this.readinessNanos = nowNanos;
    }

    EntryCore core() {
        return core;
    }

    CallerDecisions callers() {
        return callers;
    }

    ConfigDistributor distributor() {
        return distributor;
    }

    EntryPeers peers() {
        return peers;
    }

    /** Does what is due. */
    void tick(long nowNanos) {
        core.tick(nowNanos);
        if (nowNanos - readinessNanos >= READINESS_NANOS) {
            readinessNanos = nowNanos;
            readiness.serving(core.status(nowNanos).ready());
        }
    }

    /** Puts tickets in force and passes them on, except to the process that sent them. */
    void apply(List<Ticket> accepted, Optional<Incarnation> from, long nowNanos) {
        if (distributor.apply(accepted, from)) {
            core.configChanged(nowNanos);
        }
    }

    /** Takes the rows of entries. */
    void listed(KnownEntries known) {
        peers.listed(known);
        core.addKnownEntries(known.stale());
        core.addKnownEntries(known.recent());
    }

    /** Takes a new link: the peer gets the configuration before anything else. */
    void linked(PeerAddress peer, long nowNanos) {
        distributor.linked(peer);
        peers.linked(peer);
        core.linked(peer, nowNanos);
    }

    void unlinked(Incarnation peer, long nowNanos) {
        distributor.unlinked(peer);
        peers.unlinked();
        core.unlinked(peer, nowNanos);
    }

    /** Takes a message; the core gets every one, since each shows that the sender runs. */
    void received(Incarnation from, Message message, long nowNanos) {
        if (message instanceof Heartbeat heartbeat) {
            distributor.told(from, heartbeat.configNumber());
        } else if (message instanceof ConfigApplied applied) {
            distributor.told(from, applied.number());
        } else if (message instanceof ConfigUpdate update) {
            tickets.received(from, update.tickets());
        } else if (message instanceof Peers known) {
            peers.received(known);
            core.addKnownEntries(known.entries());
        }
        core.receive(from, message, nowNanos);
    }
}
