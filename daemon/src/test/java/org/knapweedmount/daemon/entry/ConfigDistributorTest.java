package org.knapweedmount.daemon.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.daemon.entry.FakeLinks.Sent;
import org.knapweedmount.daemon.ticket.AuditAction;
import org.knapweedmount.daemon.ticket.AuditLog;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class ConfigDistributorTest {
    private static final PeerAddress AGENT = FakeLinks.peer("agent-1", Role.AGENT);
    private static final PeerAddress ENTRY = FakeLinks.peer("entry-2", Role.ENTRY);

    private final FakeLinks links = new FakeLinks();
    private final AuditLog audit = new AuditLog(10, () -> "now");
    private final AtomicLong appliedNumber = new AtomicLong();
    private final ConfigDistributor distributor = new ConfigDistributor(
            FakeLinks.peer("entry-1", Role.ENTRY), new ConfigState(), links, audit, appliedNumber);

    @Test
    void ticketIsForwardedOnceAndNotToItsSender() {
        links.linked.addAll(List.of(AGENT, ENTRY));

        boolean first = distributor.apply(List.of(ticket(3)), Optional.of(ENTRY.incarnation()));
        boolean second = distributor.apply(List.of(ticket(3)), Optional.empty());

        assertThat(first, is(true));
        assertThat(second, is(false));
        assertThat(
                links.sent,
                contains(
                        new Sent(AGENT.incarnation(), new ConfigUpdate(List.of(ticket(3)))),
                        new Sent(ENTRY.incarnation(), new ConfigApplied(3))));
        assertThat(appliedNumber.get(), is(3L));
        assertThat(audit.latest(10).get(0).action(), is(AuditAction.APPLIED));
    }

    @Test
    void newLinkGetsTheWholeConfigurationInSeveralMessages() {
        distributor.linked(AGENT);
        assertThat(links.sent, is(empty()));
        distributor.apply(
                LongStream.rangeClosed(1, 101)
                        .mapToObj(ConfigDistributorTest::ticket)
                        .toList(),
                Optional.empty());

        distributor.linked(AGENT);

        assertThat(links.sent, hasSize(2));
        assertThat(((ConfigUpdate) links.sent.get(0).message()).tickets(), hasSize(100));
        assertThat(links.sent.get(1).message(), is(new ConfigUpdate(List.of(ticket(101)))));
    }

    @Test
    void entriesOfOtherRegionsReceiveNothing() {
        PeerAddress remote = FakeLinks.remoteEntry("entry-3");
        links.linked.add(remote);

        distributor.apply(List.of(ticket(3)), Optional.empty());
        distributor.linked(remote);

        assertThat(links.sent, is(empty()));
    }

    @Test
    void appliedNumberOfPeerIsRemovedWithItsLink() {
        distributor.peerApplied(AGENT.incarnation(), 4);
        assertThat(distributor.peerAppliedNumber(AGENT.incarnation()), is(4L));

        distributor.unlinked(AGENT.incarnation());

        assertThat(distributor.peerAppliedNumber(AGENT.incarnation()), is(0L));
    }

    private static Ticket ticket(long number) {
        return new Ticket(number, "ana", List.of(new DrainConfig("agent-" + number)));
    }
}
