package org.knapweedmount.daemon.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.EvacuationNotice;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.JobResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class EvacuationOrdersTest {
    private static final PeerAddress PEER = address("peer", Role.ENTRY, "south");
    private static final PeerAddress NORTH = address("agent-north", Role.AGENT, "north");
    private static final PeerAddress SOUTH = address("agent-south", Role.AGENT, "south");

    private final Map<Incarnation, List<Message>> sent = new LinkedHashMap<>();
    private final List<String> events = new ArrayList<>();
    private final DispatchModule module = new DispatchModule(new Recorder(), new AtomicLong(), ignored -> {});

    private static PeerAddress address(String name, Role role, String dataCentre) {
        return new PeerAddress(new Incarnation(name, 1), role, dataCentre, "127.0.0.1", 1);
    }

    private static ClosedDataCentres state(long version, String... names) {
        return new ClosedDataCentres(version, Set.of(names));
    }

    private void read(ClosedDataCentres state) {
        module.evacuation().apply(state, "store", 0);
    }

    private List<Message> takeSent(PeerAddress to) {
        List<Message> taken = List.copyOf(sent.getOrDefault(to.incarnation(), List.of()));
        sent.remove(to.incarnation());
        return taken;
    }

    /** Guards against messages at sites that have never closed a data centre. */
    @Test
    void nothingIsSentWithoutAnOrder() {
        module.linked(NORTH, 0);
        read(state(1));
        module.linked(PEER, 0);
        module.linked(SOUTH, 0);
        read(state(2));

        assertThat(takeSent(PEER), is(empty()));
        assertThat(takeSent(NORTH), is(empty()));
        assertThat(takeSent(SOUTH), is(empty()));
        assertThat(events, is(empty()));
    }

    /** Guards against an entry which the store refuses and that does not learn of a change. */
    @Test
    void changesArePassedOnToLinkedEntriesAndToTheAgentsConcerned() {
        module.linked(PEER, 0);
        module.linked(NORTH, 0);
        module.linked(SOUTH, 0);

        module.received(PEER.incarnation(), state(7, "north"), 0);
        assertThat(takeSent(PEER), contains(state(7, "north")));
        assertThat(takeSent(NORTH), contains(new EvacuationNotice(7, true)));
        assertThat(takeSent(SOUTH), is(empty()));

        read(state(9));
        assertThat(takeSent(PEER), contains(state(9)));
        assertThat(takeSent(NORTH), contains(new EvacuationNotice(9, false)));
    }

    /** Guards against an entry that starts, gets its queues from a peer and orders runs from a closed data centre. */
    @Test
    void newLinkCarriesTheClosedDataCentresBeforeTheQueues() {
        QueueUpdate queues = new QueueUpdate(1, List.of());
        read(state(7, "north"));
        module.apply(queues, "store");
        module.linked(PEER, 0);

        assertThat(takeSent(PEER), contains(state(7, "north"), queues));
    }

    /** Guards against an agent whose link is lost and comes back, and whose entry then assumes that it was told. */
    @Test
    void agentIsToldAgainOnEachNewLink() {
        read(state(7, "north"));
        module.linked(NORTH, 0);
        module.unlinked(NORTH.incarnation(), 0);
        takeSent(NORTH);

        module.linked(NORTH, 0);
        assertThat(takeSent(NORTH), contains(new EvacuationNotice(7, true)));
    }

    /** Guards against an entry that restarts after the removal and does not correct a peer which missed it. */
    @Test
    void peerThatMissedTheRemovalIsTold() {
        read(state(9));
        module.linked(PEER, 0);
        module.received(PEER.incarnation(), state(7, "north"), 0);

        assertThat(takeSent(PEER), contains(state(9)));
    }

    /** Guards against two entries that answer each other for ever. */
    @Test
    void stateThatIsKnownAlreadyIsNotAnswered() {
        module.linked(PEER, 0);
        read(state(9, "north"));
        takeSent(PEER);

        module.received(PEER.incarnation(), state(9, "north"), 0);
        module.received(PEER.incarnation(), state(8, "north"), 0);

        assertThat(takeSent(PEER), is(empty()));
    }

    /** Guards against a notice of an earlier reopening that prevails at an agent over an older notice of a closing. */
    @Test
    void closedAgentIsToldANewerVersionWithoutAChange() {
        module.linked(NORTH, 0);
        read(state(7, "north"));
        takeSent(NORTH);

        read(state(12, "north"));

        assertThat(takeSent(NORTH), contains(new EvacuationNotice(12, true)));
    }

    private final class Recorder implements DispatchOutput {
        @Override
        public void send(Incarnation peer, Message message) {
            if (message instanceof ClosedDataCentres
                    || message instanceof EvacuationNotice
                    || message instanceof QueueUpdate) {
                sent.computeIfAbsent(peer, key -> new ArrayList<>()).add(message);
            }
        }

        @Override
        public void answer(String job, JobResult result) {
            // No job is submitted.
        }

        @Override
        public void logEvent(String event, String detail) {
            if (event.equals("data-centres-closed")) {
                events.add(detail);
            }
        }
    }
}
