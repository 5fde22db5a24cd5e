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
 * Puts tickets in force at this entry and passes them to all linked processes of its region.
 *
 * <p>Entries of other regions read accepted tickets from the table service by themselves.
 *
 * <p>A ticket is passed on only if it changed something here, so that it goes round once. Used on the decision
 * thread; the highest number in force is also read by others.
 */
final class ConfigDistributor {
    private static final int MAX_TICKETS_PER_MESSAGE = 100;
    private static final int MAX_AUDIT_RECORDS = 10;

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

    /** Puts tickets in force and passes them on, except to the process that sent them; tells whether any was new. */
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
        if (applied.size() > MAX_AUDIT_RECORDS) {
            String detail = source + ", the highest of " + applied.size() + " tickets";
            audit.add(AuditAction.APPLIED, config.highestNumber(), "", detail);
            return;
        }
        applied.forEach(ticket -> audit.add(AuditAction.APPLIED, ticket.number(), ticket.author(), source));
    }

    private List<PeerAddress> peersInRegion() {
        return links.peers().stream().filter(self::sharesRegionWith).toList();
    }

    /** Brings a newly linked process of the region to the state of this entry. */
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

    /** Takes note of the highest ticket number that a linked process says it has applied. */
    void peerApplied(Incarnation peer, long number) {
        peerAppliedNumbers.put(peer, number);
    }

    /** Returns the highest ticket number that a linked process has told, 0 if it told none. */
    long peerAppliedNumber(Incarnation peer) {
        return peerAppliedNumbers.getOrDefault(peer, 0L);
    }

    /** Returns the configuration in force, not to be changed. */
    ConfigState config() {
        return config;
    }

    /** Returns the highest ticket number in force. */
    long appliedNumber() {
        return appliedNumber.get();
    }
}
