package org.knapweedmount.daemon.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.daemon.ticket.AuditAction;
import org.knapweedmount.daemon.ticket.AuditLog;

/**
 * Applies tickets at this entry and forwards them to all linked processes of its region.
 *
 * <p>Entries of other regions read accepted tickets from the table service themselves.
 *
 * <p>A ticket is forwarded only if it changed the configuration here, so that entries do not forward it in a loop. Used
 * on the decision thread; the highest number in force is also read by other threads.
 */
final class ConfigDistributor {
    private static final int MAX_TICKETS_PER_MESSAGE = 100;
    private static final int MAX_AUDIT_RECORDS_PER_UPDATE = 10;

    private final PeerAddress self;
    private final ConfigState config;
    private final Links links;
    private final AuditLog audit;
    private final Map<Incarnation, Long> peerAppliedNumbers = new HashMap<>();
    private final AtomicLong appliedNumber;

    ConfigDistributor(PeerAddress self, ConfigState config, Links links, AuditLog audit, AtomicLong appliedNumber) {
        this.self = self;
        this.config = config;
        this.links = links;
        this.audit = audit;
        this.appliedNumber = appliedNumber;
    }

    /** Applies tickets and forwards them, except to the process that sent them; returns whether any was new. */
    boolean apply(List<Ticket> tickets, Optional<Incarnation> from) {
        List<Ticket> applied = new ArrayList<>();
        for (Ticket ticket : tickets) {
            if (!config.apply(ticket).isEmpty()) {
                applied.add(ticket);
            }
        }
        appliedNumber.set(config.highestNumber());
        if (applied.isEmpty()) {
            return false;
        }
        for (PeerAddress peer : peersInRegion()) {
            if (!from.equals(Optional.of(peer.incarnation()))) {
                send(peer.incarnation(), applied);
            }
            if (peer.role() == Role.ENTRY) {
                links.send(peer.incarnation(), new ConfigApplied(config.highestNumber()));
            }
        }
        auditApplied(applied, from);
        return true;
    }

    private void auditApplied(List<Ticket> applied, Optional<Incarnation> from) {
        String source = "from " + from.map(Incarnation::toString).orElse("table service");
        if (applied.size() > MAX_AUDIT_RECORDS_PER_UPDATE) {
            String detail = source + ", the highest of " + applied.size() + " tickets";
            audit.add(AuditAction.APPLIED, config.highestNumber(), "", detail);
            return;
        }
        applied.forEach(ticket -> audit.add(AuditAction.APPLIED, ticket.number(), ticket.author(), source));
    }

    private List<PeerAddress> peersInRegion() {
        return links.peers().stream().filter(self::sharesRegionWith).toList();
    }

    /** Sends the whole configuration to a newly linked process of the region. */
    void linked(PeerAddress peer) {
        if (self.sharesRegionWith(peer)) {
            send(peer.incarnation(), config.tickets());
        }
    }

    void unlinked(Incarnation peer) {
        peerAppliedNumbers.remove(peer);
    }

    private void send(Incarnation peer, List<Ticket> tickets) {
        for (int start = 0; start < tickets.size(); start += MAX_TICKETS_PER_MESSAGE) {
            int end = Math.min(tickets.size(), start + MAX_TICKETS_PER_MESSAGE);
            links.send(peer, new ConfigUpdate(tickets.subList(start, end)));
        }
    }

    /** Records the highest ticket number that a linked process reports as applied. */
    void peerApplied(Incarnation peer, long number) {
        peerAppliedNumbers.put(peer, number);
    }

    /** Returns the highest ticket number that a linked process has reported as applied, 0 if it reported none. */
    long peerAppliedNumber(Incarnation peer) {
        return peerAppliedNumbers.getOrDefault(peer, 0L);
    }

    /** Returns the configuration in force; the caller must not change it. */
    ConfigState config() {
        return config;
    }

    /** Returns the highest ticket number in force. */
    long appliedNumber() {
        return appliedNumber.get();
    }
}
