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
import org.knapweedmount.daemon.http.CallerRequestHandler;
import org.knapweedmount.daemon.store.KnownEntries;
import org.knapweedmount.daemon.ticket.TicketService;

/**
 * State owned by the decision thread of an entry: the core, the configuration in force and the known entries.
 *
 * <p>Used on the decision thread.
 */
final class EntryModule {
    private static final long READINESS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EntryCore core;
    private final CallerRequestHandler callers;
    private final ConfigDistributor distributor;
    private final EntryPeers peers;
    private final TicketService tickets;
    private final Readiness readiness;
    private long lastReadinessNanos;

    EntryModule(
            EntryCore core,
            ConfigState config,
            ConfigDistributor distributor,
            EntryPeers peers,
            TicketService tickets,
            Readiness readiness,
            long nowNanos) {
        this.core = core;
        this.callers = new CoreRequestHandler(core, config);
        this.distributor = distributor;
        this.peers = peers;
        this.tickets = tickets;
        this.readiness = readiness;
        this.lastReadinessNanos = nowNanos;
    }

    EntryCore core() {
        return core;
    }

    CallerRequestHandler callers() {
        return callers;
    }

    ConfigDistributor distributor() {
        return distributor;
    }

    EntryPeers peers() {
        return peers;
    }

    /** Runs the timed work of the core and updates the readiness. */
    void tick(long nowNanos) {
        core.tick(nowNanos);
        if (nowNanos - lastReadinessNanos >= READINESS_INTERVAL_NANOS) {
            lastReadinessNanos = nowNanos;
            readiness.serving(core.status(nowNanos).ready());
        }
    }

    /** Applies tickets and forwards them, except to the process that sent them. */
    void apply(List<Ticket> accepted, Optional<Incarnation> from, long nowNanos) {
        if (distributor.apply(accepted, from)) {
            core.configChanged(nowNanos);
        }
    }

    /** Handles the entries that were read from the table service. */
    void entriesListed(KnownEntries known) {
        peers.entriesListed(known);
        core.addKnownEntries(known.stale());
        core.addKnownEntries(known.recent());
    }

    /** Handles a new link; the peer receives the configuration before any other message. */
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

    /** Handles a message; the core receives every message, since each shows that the sender is alive. */
    void received(Incarnation from, Message message, long nowNanos) {
        if (message instanceof Heartbeat heartbeat) {
            distributor.peerApplied(from, heartbeat.configNumber());
        } else if (message instanceof ConfigApplied applied) {
            distributor.peerApplied(from, applied.number());
        } else if (message instanceof ConfigUpdate update) {
            tickets.ticketsReceived(from, update.tickets());
        } else if (message instanceof Peers known) {
            peers.received(known);
            core.addKnownEntries(known.entries());
        }
        core.receive(from, message, nowNanos);
    }
}
