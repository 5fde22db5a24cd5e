package org.knapweedmount.daemon.entry;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.daemon.entry.FakeLinks.Sent;
import org.knapweedmount.daemon.store.KnownEntries;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class EntryPeersTest {
    private static final PeerAddress SELF = FakeLinks.peer("entry-1", Role.ENTRY);
    private static final PeerAddress SECOND = FakeLinks.peer("entry-2", Role.ENTRY);
    private static final PeerAddress THIRD = FakeLinks.peer("entry-3", Role.ENTRY);
    private static final PeerAddress AGENT = FakeLinks.peer("agent-1", Role.AGENT);

    private final FakeLinks links = new FakeLinks();
    private final EntryPeers peers = new EntryPeers(SELF, links);

    @Test
    void linkedProcessReceivesEntriesOnce() {
        links.linked.add(AGENT);
        peers.linked(AGENT);
        peers.entriesListed(new KnownEntries(List.of(SELF), List.of()));

        assertThat(links.sent, contains(new Sent(AGENT.incarnation(), new Peers(List.of(SELF)))));
    }

    @Test
    void changeIsSentToEveryLinkedProcess() {
        links.linked.add(AGENT);
        peers.linked(AGENT);
        links.sent.clear();
        links.linked.add(SECOND);

        peers.linked(SECOND);

        Peers both = new Peers(List.of(SELF, SECOND));
        assertThat(links.sent, contains(new Sent(AGENT.incarnation(), both), new Sent(SECOND.incarnation(), both)));
    }

    @Test
    void staleEntriesAreSentLastAndStillDialled() {
        links.linked.add(AGENT);

        peers.entriesListed(new KnownEntries(List.of(THIRD), List.of(SECOND)));

        assertThat(links.sent, contains(new Sent(AGENT.incarnation(), new Peers(List.of(SELF, THIRD, SECOND)))));
        assertThat(links.knownEntries, is(List.of(THIRD, SECOND)));
    }

    @Test
    void agentsReceiveOnlyEntriesOfTheirRegion() {
        PeerAddress remote = FakeLinks.remoteEntry("entry-9");
        links.linked.addAll(List.of(AGENT, SECOND));

        peers.entriesListed(new KnownEntries(List.of(remote), List.of()));
        peers.entriesListed(new KnownEntries(List.of(), List.of(remote)));

        assertThat(
                links.sent,
                contains(
                        new Sent(AGENT.incarnation(), new Peers(List.of(SELF, SECOND))),
                        new Sent(SECOND.incarnation(), new Peers(List.of(SELF, SECOND, remote)))));
    }

    @Test
    void entriesLearnedFromPeersAreAdvertisedOnlyWhenLinked() {
        links.linked.add(AGENT);
        peers.linked(AGENT);
        links.sent.clear();

        peers.received(new Peers(List.of(SECOND)));

        assertThat(links.knownEntries, is(List.of(SECOND)));
        assertThat(links.sent, is(List.of()));
    }
}
