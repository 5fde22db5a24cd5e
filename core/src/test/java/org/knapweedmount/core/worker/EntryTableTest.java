package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.EntryAdmission;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class EntryTableTest {
    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final Incarnation OTHER = new Incarnation("other", 1);
    private static final RunResult RESULT = new RunResult(new RunRef("t1", 1), RunOutcome.DONE, 10, "");

    private final Recorder output = new Recorder();
    private final EntryTable entries = new EntryTable(output);

    @Test
    void resultThatWasSentOnALostLinkIsSentOnTheNextOne() {
        entries.linked(ENTRY, new RunTable(), 100);
        entries.addResult(ENTRY, RESULT);
        entries.sendResults(110);
        entries.of(ENTRY).unlink(0);
        output.results.clear();

        entries.linked(ENTRY, new RunTable(), 200);

        assertThat(output.results, contains(RESULT));
    }

    @Test
    void resultThatWasSentOnANewLinkThatIsRefusedIsSentOnTheNextOne() {
        entries.linked(ENTRY, new RunTable(), 100);
        entries.of(ENTRY).unlink(0);
        entries.addResult(ENTRY, RESULT);
        entries.sendResults(110);
        entries.linked(ENTRY, new RunTable(), 200);
        entries.of(ENTRY).renew(150 + WorkerTimings.LEASE_MILLIS);
        entries.of(ENTRY).unlink(0);
        output.results.clear();

        entries.linked(ENTRY, new RunTable(), 300);

        assertThat(output.results, contains(RESULT));
    }

    @Test
    void resultIsNotSentAgainOnceTheEntryHasReturnedALaterTimestamp() {
        entries.linked(ENTRY, new RunTable(), 100);
        entries.addResult(ENTRY, RESULT);
        entries.sendResults(110);
        entries.of(ENTRY).renew(111 + WorkerTimings.LEASE_MILLIS);
        entries.of(ENTRY).unlink(0);
        output.results.clear();

        entries.linked(ENTRY, new RunTable(), 200);

        assertThat(output.results, is(empty()));
    }

    // Before, each start of an entry made the requests of all others wait for it, for up to a second on a small VM.
    @Test
    void entryThatAdmitsNoJobsYetIsNotListedToOthers() {
        entries.linked(OTHER, new RunTable(), 100);
        entries.of(ENTRY).awaitAdmission();
        entries.linked(ENTRY, new RunTable(), 100);
        assertThat(output.listedToOther(), is(empty()));

        entries.received(ENTRY, new EntryAdmission(true));
        entries.tellLinkedEntries(new RunTable());

        assertThat(output.listedToOther(), contains(ENTRY));
    }

    // The jobs of an entry that is cut off from the others count as long as agents list it, also on a new link.
    @Test
    void entryThatHasAdmittedJobsIsListedAtOnceOnItsNextLink() {
        entries.linked(OTHER, new RunTable(), 100);
        entries.of(ENTRY).awaitAdmission();
        entries.linked(ENTRY, new RunTable(), 100);
        entries.received(ENTRY, new EntryAdmission(true));
        entries.unlinked(ENTRY, 0);

        entries.of(ENTRY).awaitAdmission();
        entries.linked(ENTRY, new RunTable(), 200);

        assertThat(output.listedToOther(), contains(ENTRY));
    }

    private static final class Recorder implements WorkerOutput {
        private final List<RunResult> results = new ArrayList<>();
        private LinkedEntries toldOther;

        private List<Incarnation> listedToOther() {
            return toldOther.entries();
        }

        @Override
        public void send(Incarnation entry, Message message) {
            if (entry.equals(OTHER) && message instanceof LinkedEntries linked) {
                toldOther = linked;
            }
            if (message instanceof RunsEnded ended) {
                results.addAll(ended.results());
            }
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
            // Not used.
        }

        @Override
        public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
            // Not used.
        }

        @Override
        public void list(
                WorkerIncarnation incarnation,
                long fence,
                long acknowledged,
                long leaseExpiryMillis,
                long sentNanos,
                int waitMillis) {
            // Not used.
        }

        @Override
        public void logEvent(String event, String detail) {
            // Not used.
        }
    }
}
