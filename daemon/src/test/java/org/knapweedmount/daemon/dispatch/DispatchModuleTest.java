package org.knapweedmount.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.EntryAdmission;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.JobResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class DispatchModuleTest {
    private static final PeerAddress FIRST = entry("first", 1);
    private static final PeerAddress SECOND = entry("second", 2);

    private final List<Peers> sentToFirst = new ArrayList<>();
    private final List<EntryAdmission> admissionsSentToFirst = new ArrayList<>();
    private final DispatchModule module = new DispatchModule(new Recorder(), new AtomicLong(), ignored -> {});

    private static PeerAddress entry(String name, long nonce) {
        return new PeerAddress(new Incarnation(name, nonce), Role.ENTRY, "region", "data-centre", "127.0.0.1", 1);
    }

    private List<PeerAddress> lastSentToFirst() {
        return sentToFirst.get(sentToFirst.size() - 1).entries();
    }

    @Test
    void entriesAreToldWhichOtherEntriesAreLinked() {
        module.linked(FIRST, 0);
        assertThat(lastSentToFirst(), is(empty()));

        module.linked(SECOND, 0);
        module.received(SECOND.incarnation(), new EntryAdmission(true), 0);
        assertThat(lastSentToFirst(), contains(SECOND));

        module.unlinked(SECOND.incarnation(), 0);
        assertThat(lastSentToFirst(), is(empty()));
    }

    // An entry that is named to the others before it admits jobs holds up their requests while it is busy with its
    // start.
    @Test
    void entryThatAdmitsNoJobsYetIsNotNamedToOthers() {
        module.linked(FIRST, 0);
        module.linked(SECOND, 0);
        module.received(SECOND.incarnation(), new EntryAdmission(false), 0);

        assertThat(lastSentToFirst(), is(empty()));
    }

    @Test
    void linkedProcessesAreToldWhenJobsAreAdmitted() {
        module.dispatcher().startupEntries().started(0);
        module.linked(FIRST, 0);
        assertThat(admissionsSentToFirst, contains(new EntryAdmission(false)));

        module.entriesListed(List.of(), "self");
        assertThat(module.dispatcher().startupEntries().isAwaiting(1), is(false));

        assertThat(admissionsSentToFirst, contains(new EntryAdmission(false), new EntryAdmission(true)));
    }

    private final class Recorder implements DispatchOutput {
        @Override
        public void send(Incarnation peer, Message message) {
            if (peer.equals(FIRST.incarnation()) && message instanceof Peers peers) {
                sentToFirst.add(peers);
            }
            if (peer.equals(FIRST.incarnation()) && message instanceof EntryAdmission admission) {
                admissionsSentToFirst.add(admission);
            }
        }

        @Override
        public void answer(String job, JobResult result) {
            // No job is submitted.
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
