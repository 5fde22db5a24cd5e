package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.OwnershipProbeReply;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.core.evacuation.DataCentreAccess;
import org.knapweedmount.core.metric.MillisHistogram;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class DispatchEventsTest {
    private static final Incarnation AGENT = new Incarnation("agent", 1);
    private static final Incarnation PEER = new Incarnation("peer", 2);
    private static final String JOB = "00000000000000aa";

    private final Recorder output = new Recorder();
    private final Dispatcher dispatcher = new Dispatcher(output, new DataCentreAccess());

    private void submit(String job, long millis) {
        dispatcher.submit(
                DispatchFixture.request(job, DispatchFixture.step(1, 1_000, 300)),
                DispatchFixture.millisToNanos(millis));
    }

    private void report(long millis) {
        Resources capacity = new Resources(4_000, 1_000, 0);
        dispatcher.receive(
                AGENT,
                new WorkerReport(1, "service", "w", List.of(), capacity, capacity, true, 9, 0, 100, true),
                DispatchFixture.millisToNanos(millis));
    }

    private void ownedByPeer(String job, long millis) {
        dispatcher.receive(
                PEER,
                new JobOwnershipUpdate(List.of(new JobClaim(job, 1_000)), List.of()),
                DispatchFixture.millisToNanos(millis));
    }

    @BeforeEach
    void openWorker() {
        dispatcher.agentLinked(AGENT, 0);
        report(0);
        dispatcher.entryLinked(PEER, 0);
        dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(), List.of()), 0);
        dispatcher.receive(PEER, new OwnershipProbeReply(1), 0);
    }

    @Test
    void orderHasNumberOfLinkAndAgeOfReport() {
        dispatcher.unlinked(AGENT, DispatchFixture.millisToNanos(10));
        dispatcher.agentLinked(AGENT, DispatchFixture.millisToNanos(20));
        report(25);
        submit(JOB, 30);

        assertThat(
                output.lines("runs-ordered"),
                contains("ago=0 agent=" + AGENT + " link=2 report=5 offer=0 free=4000 tasks=[" + JOB + ".0.0.0#1]"));
    }

    @Test
    void newLinkTellsLostAndOutdatedRuns() {
        submit(JOB, 10);
        dispatcher.agentLinked(AGENT, DispatchFixture.millisToNanos(20));
        dispatcher.receive(AGENT, new ActiveRuns(List.of(new RunRef("x", 7))), DispatchFixture.millisToNanos(30));
        dispatcher.tick(DispatchFixture.millisToNanos(35));

        assertThat(output.lines("runs-outdated"), contains("agent=" + AGENT + " link=2 runs=[x#7]"));
        assertThat(
                output.lines("run-lost"),
                contains("ago=5 agent=" + AGENT + " cause=NEW_LINK link=2 runs=[" + JOB + ".0.0.0#1]"));
        assertThat(output.counted, contains(DispatchCounter.RUNS_LOST_ON_NEW_LINK));
    }

    // After a recovery agents refuse hundreds of runs in a second, and the log kept the lines of 40 of them.
    @Test
    void endsOfRunsShareALine() {
        submit(JOB, 10);
        String other = "00000000000000bb";
        submit(other, 10);
        List<RunResult> refused = Stream.of(JOB, other)
                .map(job -> new RunResult(new RunRef(job + ".0.0.0", 1), RunOutcome.REFUSED, 0, ""))
                .toList();
        dispatcher.receive(AGENT, new RunsEnded(refused), DispatchFixture.millisToNanos(20));
        dispatcher.tick(DispatchFixture.millisToNanos(50));

        assertThat(
                output.lines("run-ended").get(0),
                containsString(
                        " how=REFUSED millis=0 agent=" + AGENT + " runs=[" + JOB + ".0.0.0#1, " + other + ".0.0.0#1]"));
        assertThat(output.lines("run-ended").size(), is(1));
    }

    @Test
    void silentAgentIsTheCauseOfALostRun() {
        submit(JOB, 10);
        dispatcher.tick(DispatchFixture.millisToNanos(1_200));

        assertThat(
                output.lines("run-lost"),
                contains("ago=0 agent=" + AGENT + " cause=AGENT_SILENT link=1 runs=[" + JOB + ".0.0.0#1]"));
        assertThat(output.counted.isEmpty(), is(true));
    }

    @Test
    void jobThatAnotherEntryOwnsAsWellIsLogged() {
        submit(JOB, 10);
        ownedByPeer(JOB, 20);

        assertThat(
                output.lines("jobs-held-twice"), contains("entry=" + PEER + " unanswered=[" + JOB + "] answered=[]"));
        assertThat(output.counted, contains(DispatchCounter.JOBS_HELD_TWICE));
    }

    @Test
    void waitingResubmissionTellsWhyItIsReleased() {
        ownedByPeer(JOB, 5);
        submit(JOB, 10);
        dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(), List.of(JOB)), DispatchFixture.millisToNanos(40));
        String other = "00000000000000bb";
        ownedByPeer(other, 50);
        submit(other, 60);
        dispatcher.unlinked(PEER, DispatchFixture.millisToNanos(70));
        dispatcher.tick(DispatchFixture.millisToNanos(1_171));

        assertThat(
                output.lines("job-released"),
                contains(
                        "ago=0 reason=ended-there waited-for=LINKED_ENTRY millis=30 jobs=[" + JOB + "]",
                        "ago=0 reason=leases-ended waited-for=LINKED_ENTRY millis=1111 jobs=[" + other + "]"));
        assertThat(
                output.lines("job-elsewhere"),
                contains(
                        "ago=30 entry=" + PEER + " unknown= jobs=[" + JOB + "]",
                        "ago=1111 entry=" + PEER + " unknown= jobs=[" + other + "]"));
        assertThat(
                output.counted, contains(DispatchCounter.RESUBMISSIONS_WAITED, DispatchCounter.RESUBMISSIONS_WAITED));
    }

    // Without what the entry knew of the others, the log can't tell why it admitted a job that another one held.
    @Test
    void admissionTellsWhatTheEntryKnewAndWaitedFor() {
        Incarnation unlinked = new Incarnation("unlinked", 3);
        dispatcher.tick(DispatchFixture.millisToNanos(0));
        dispatcher.receive(
                AGENT, new LinkedEntries(List.of(PEER, unlinked), List.of()), DispatchFixture.millisToNanos(1));
        submit(JOB, 10);
        dispatcher.receive(AGENT, new RelayedEnd(unlinked, List.of(JOB), 1), DispatchFixture.millisToNanos(13));
        dispatcher.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), DispatchFixture.millisToNanos(20));
        String other = "00000000000000bb";
        ownedByPeer(other, 50);
        submit(other, 60);
        dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(), List.of(other)), DispatchFixture.millisToNanos(90));

        assertThat(
                output.lines("jobs-admitted"),
                contains(
                        "ago=0 up=13 entries=1 unlinked=[" + unlinked
                                + "] submitted=3 waited-for=UNLINKED_ENTRY waited=3 jobs=[" + JOB + "]",
                        "ago=0 up=90 entries=1 unlinked=[] submitted=30 waited-for=LINKED_ENTRY waited=30 jobs=["
                                + other + "]"));
    }

    // A wait for an entry without a link ends when its leases must have ended, not when it says so.
    @Test
    void waitForAnEntryWithoutALinkIsToldApart() {
        ownedByPeer(JOB, 5);
        dispatcher.unlinked(PEER, DispatchFixture.millisToNanos(7));
        submit(JOB, 10);
        report(1_000);
        dispatcher.tick(DispatchFixture.millisToNanos(1_108));

        assertThat(
                output.lines("jobs-admitted"),
                contains("ago=0 up=1108 entries=0 unlinked=[] submitted=1098 waited-for=UNLINKED_ENTRY waited=1098"
                        + " jobs=[" + JOB + "]"));
    }

    // A wait that ends without an admission adds nothing to the latency of an admitted job.
    @Test
    void onlyWaitsOfAdmittedJobsAreCounted() {
        ownedByPeer(JOB, 5);
        submit(JOB, 10);
        dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(), List.of(JOB)), DispatchFixture.millisToNanos(40));
        String other = "00000000000000bb";
        ownedByPeer(other, 50);
        submit(other, 60);
        dispatcher.callerLeft(other, DispatchFixture.millisToNanos(70));
        dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(), List.of(other)), DispatchFixture.millisToNanos(75));
        submit(other, 80);
        dispatcher.tick(DispatchFixture.millisToNanos(110));

        assertThat(
                output.lines("jobs-admitted"),
                contains(containsString("waited-for=LINKED_ENTRY waited=30"), containsString("waited-for=NOTHING")));
        MillisHistogram<WaitReason> waits = dispatcher.status().waits();
        int buckets = waits.boundsMillis().size() + 1;
        assertThat(waits.cumulativeCount(WaitReason.LINKED_ENTRY, buckets), is(1L));
        assertThat(
                waits.cumulativeCount(
                        WaitReason.LINKED_ENTRY, waits.boundsMillis().indexOf(25) + 1),
                is(0L));
        assertThat(
                waits.cumulativeCount(
                        WaitReason.LINKED_ENTRY, waits.boundsMillis().indexOf(50) + 1),
                is(1L));
    }

    // An entry that stood still holds requests, and may wait for other entries after that.
    @Test
    void waitAfterAStallIsToldApartFromTheWaitForEntries() {
        dispatcher.tick(DispatchFixture.millisToNanos(10));
        ownedByPeer(JOB, 15);
        dispatcher.tick(DispatchFixture.millisToNanos(1_200));
        submit(JOB, 1_210);
        for (int millis = 1_225; millis <= 1_325; millis += 25) {
            dispatcher.tick(DispatchFixture.millisToNanos(millis));
        }
        for (int number = 1; number <= 9; number++) {
            dispatcher.receive(PEER, new OwnershipProbeReply(number), DispatchFixture.millisToNanos(1_340));
        }
        dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(), List.of(JOB)), DispatchFixture.millisToNanos(1_345));
        dispatcher.tick(DispatchFixture.millisToNanos(1_375));

        assertThat(output.lines("job-read-after-stall"), contains("ago=15 reason=STALL jobs=[" + JOB + "]"));
        assertThat(
                output.lines("job-released"),
                contains(
                        "ago=0 reason=settled waited-for=STALL millis=90 jobs=[" + JOB + "]",
                        "ago=0 reason=ended-there waited-for=LINKED_ENTRY millis=45 jobs=[" + JOB + "]"));
        MillisHistogram<WaitReason> waits = dispatcher.status().waits();
        int buckets = waits.boundsMillis().size() + 1;
        assertThat(waits.cumulativeCount(WaitReason.STALL, buckets), is(1L));
        assertThat(waits.cumulativeCount(WaitReason.LINKED_ENTRY, buckets), is(1L));
    }

    // The first links and the reports of agents tell what an entry could know when it admitted a job.
    @Test
    void changesOfTheKnownEntriesAreLoggedOnce() {
        Incarnation unlinked = new Incarnation("unlinked", 3);
        for (int millis = 1; millis < 4; millis++) {
            dispatcher.receive(
                    AGENT,
                    new LinkedEntries(List.of(PEER, unlinked), List.of()),
                    DispatchFixture.millisToNanos(millis));
        }
        dispatcher.entryLinked(unlinked, DispatchFixture.millisToNanos(4));
        dispatcher.unlinked(PEER, DispatchFixture.millisToNanos(5));
        dispatcher.unlinked(AGENT, DispatchFixture.millisToNanos(6));

        assertThat(output.lines("first-agent-linked"), contains("agent=" + AGENT + " up=0"));
        assertThat(
                output.lines("entries-known"),
                contains(
                        "change=linked by=" + PEER + " linked=[" + PEER + "] unlinked=[]",
                        "change=reported by=" + AGENT + " linked=[" + PEER + "] unlinked=[" + unlinked + "]",
                        "change=linked by=" + unlinked + " linked=[" + PEER + ", " + unlinked + "] unlinked=[]",
                        "change=unlinked by=" + PEER + " linked=[" + unlinked + "] unlinked=[" + PEER + "]",
                        "change=unlinked by=" + AGENT + " linked=[" + unlinked + "] unlinked=[]"));
    }

    private static final class Recorder implements DispatchOutput {
        private final List<String> events = new ArrayList<>();
        private final List<DispatchCounter> counted = new ArrayList<>();

        private List<String> lines(String event) {
            String prefix = event + " ";
            return events.stream()
                    .filter(line -> line.startsWith(prefix))
                    .map(line -> line.substring(prefix.length()))
                    .toList();
        }

        @Override
        public void send(Incarnation peer, Message message) {
            // Messages are not checked.
        }

        @Override
        public void answer(String job, JobResult result) {
            // Answers are not checked.
        }

        @Override
        public void logEvent(String event, String detail) {
            events.add(event + " " + detail);
        }

        @Override
        public void count(DispatchCounter counter) {
            counted.add(counter);
        }
    }
}
