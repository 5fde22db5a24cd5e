package org.knapweedmount.core.entry;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Roster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.job;

/** Tests which agents are in the roster versions of issued IDs. */
class AgentRegistryTest {
    private static final PeerAddress PEER = EntryFixture.entryAddress("entry-2");

    private final EntryFixture entry = new EntryFixture();
    private final Incarnation replaced = entry.agent("agent-1", 8);
    private final Incarnation other = entry.agent("agent-2", 8);
    private final Incarnation replacement = new Incarnation("agent-1", 2);

    private static PeerAddress address(Incarnation incarnation) {
        return new PeerAddress(incarnation, Role.AGENT, "rennes", "127.0.0.1", 0);
    }

    private void linkPeerAndIssue() {
        entry.core.linked(PEER, entry.now);
        entry.issue();
    }

    private void link(Incarnation agent) {
        entry.core.linked(address(agent), entry.now);
    }

    private void unlink(Incarnation agent) {
        entry.core.unlinked(agent, entry.now);
    }

    /** Issues an ID and returns the agents of its roster version. */
    private List<Incarnation> agentsOfNewId() {
        int version = entry.issue().rosterVersion();
        return entry.output.to(PEER.incarnation(), Roster.class).stream()
                .filter(roster -> roster.version() == version)
                .flatMap(roster -> roster.agents().stream())
                .map(PeerAddress::incarnation)
                .toList();
    }

    @Test
    void unlinkedAgentStaysUntilItsReplacementIsLinked() {
        linkPeerAndIssue();
        unlink(replaced);
        assertThat(agentsOfNewId(), contains(replaced, other));

        link(replacement);

        assertThat(agentsOfNewId(), contains(other, replacement));
    }

    @Test
    void replacedAgentIsRemovedWhenItsLinkIsLost() {
        linkPeerAndIssue();
        link(replacement);
        assertThat(agentsOfNewId(), contains(replaced, other, replacement));

        unlink(replaced);

        assertThat(agentsOfNewId(), contains(other, replacement));
    }

    @Test
    void leavingAgentIsRemovedImmediately() {
        linkPeerAndIssue();

        entry.receive(replaced, new Leaving("draining"));

        assertThat(agentsOfNewId(), contains(other));
    }

    @Test
    void relinkedAgentGetsNoTasksOfVersionsThatOmitIt() {
        linkPeerAndIssue();
        entry.receive(replaced, new Leaving("draining"));
        unlink(other);
        SubmissionId between = entry.issue();
        unlink(replaced);
        entry.agent("agent-1", 8);
        entry.submit(between, job(RESERVE, "lens"));
        entry.grant(replaced, 1);
        assertThat(entry.starts(), is(empty()));

        assertThat(agentsOfNewId(), contains(other, replaced));
        entry.submit(job(RESERVE, "hood"));

        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void issuedVersionsAreImmutable() {
        linkPeerAndIssue();
        List<Roster> before = entry.output.to(PEER.incarnation(), Roster.class);
        unlink(replaced);
        link(replacement);
        entry.issue();

        PeerAddress later = EntryFixture.entryAddress("entry-3");
        entry.core.linked(later, entry.now);

        List<Roster> received = entry.output.to(later.incarnation(), Roster.class);
        assertThat(received.get(0), is(before.get(0)));
        assertThat(received, hasSize(2));
    }
}
