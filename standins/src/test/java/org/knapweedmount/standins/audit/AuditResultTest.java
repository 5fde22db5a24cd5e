package org.knapweedmount.standins.audit;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class AuditResultTest {
    private static final String LEASE = "granted=5900 clock=5000";

    private static String line(double seconds, String process, String event, String detail) {
        return String.format(
                "%10.4f %s 2026-01-01T22:32:10.457Z INFO DecisionLog: process=%s event=%s %s",
                seconds, process, process, event, detail);
    }

    private static String accepted(double seconds, String agent, String entry, String run) {
        return line(
                seconds,
                agent,
                "runs-accepted",
                "ago=0 worker=w-" + agent + "@1 entry=" + entry + " age=12 expiry=5880 " + LEASE + " runs=[" + run
                        + "]");
    }

    private static String released(double seconds, String agent, String evidence, String outcome, String item) {
        return line(
                seconds,
                agent,
                "runs-released",
                "ago=0 worker=w-" + agent + "@1 entry=e~1 evidence=" + evidence + " outcome=" + outcome + " " + LEASE
                        + " runs=[" + item + "]");
    }

    private static AuditResult audit(String... lines) {
        return AuditResult.of(List.of(lines));
    }

    @Test
    void runsThatWereSeenAliveAtTheSameTimeOverlapCertainly() {
        AuditResult result = audit(
                line(
                        0.999,
                        "e1",
                        "runs-ordered",
                        "ago=0 agent=a~0a link=2 report=30 offer=0 free=4000 tasks=[aa.0.0.0#1, bb.0.0.0#1]"),
                accepted(1.000, "a", "e1~1", "aa.0.0.0#1"),
                accepted(1.100, "b", "e2~2", "aa.0.0.0#2"),
                released(1.300, "a", "LISTED", "STOPPED", "aa.0.0.0#1/300/298/10"),
                released(1.400, "b", "LISTED", "DONE", "aa.0.0.0#2/300/298/50"));

        assertThat(result.verdict(), is(AuditResult.Verdict.OVERLAP));
        assertThat(
                result.describe(),
                allOf(
                        containsString("certain overlap of two runs of aa.0.0.0, at most 200.0 ms"),
                        containsString("aa.0.0.0#1 at agent a, worker w-a@1, entry e1~1: accepted 1.000 s (timestamp"
                                + " age 12 ms, expiry of the start 5880, latest granted 5900 at worker clock 5000)"),
                        containsString("link 2 to a~0a, report received 30 ms before"),
                        containsString("2 starts accepted")));
    }

    @Test
    void shortRunWithinALongerOneOverlapsCertainly() {
        AuditResult result = audit(
                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                accepted(1.100, "b", "e~1", "aa.0.0.0#2"),
                released(1.120, "b", "LISTED", "DONE", "aa.0.0.0#2/20/-/-"),
                released(1.300, "a", "LISTED", "DONE", "aa.0.0.0#1/300/298/10"));

        assertThat(result.verdict(), is(AuditResult.Verdict.OVERLAP));
    }

    @Test
    void runsOnTheSameWorkerOverlap() {
        AuditResult result = audit(
                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                accepted(1.100, "a", "f~1", "aa.0.0.0#2"),
                released(1.300, "a", "LISTED", "DONE", "aa.0.0.0#1/300/298/10"),
                released(1.400, "a", "LISTED", "DONE", "aa.0.0.0#2/300/298/10"));

        assertThat(result.verdict(), is(AuditResult.Verdict.OVERLAP));
    }

    @Test
    void runsOneAfterTheOtherDoNotOverlap() {
        AuditResult result = audit(
                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                released(1.300, "a", "LISTED", "STOPPED", "aa.0.0.0#1/300/298/10"),
                accepted(1.301, "b", "e~1", "aa.0.0.0#2"),
                released(1.400, "b", "LISTED", "DONE", "aa.0.0.0#2/99/98/10"));

        assertThat(result.verdict(), is(AuditResult.Verdict.NO_OVERLAP));
    }

    @Test
    void unconfirmedRunOfAnEarlierIncarnationMayLiveForALease() {
        AuditResult result = audit(
                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                released(1.300, "a", "NEW_INCARNATION", "LAPSED", "aa.0.0.0#1/300/-/-"),
                accepted(1.310, "b", "e~1", "aa.0.0.0#2"),
                released(1.400, "b", "LISTED", "DONE", "aa.0.0.0#2/90/88/10"));

        assertThat(result.verdict(), is(AuditResult.Verdict.POSSIBLE_OVERLAP));
    }

    @Test
    void runThatIsListedAfterItsReleaseOverlapsCertainly() {
        AuditResult result = audit(
                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                released(1.300, "a", "NEW_INCARNATION", "LAPSED", "aa.0.0.0#1/300/298/200"),
                accepted(1.310, "b", "e~1", "aa.0.0.0#2"),
                line(1.350, "a", "runs-foreign", "ago=0 worker=w-a@2 state=RUNNING " + LEASE + " runs=[aa.0.0.0#1]"),
                released(1.400, "b", "LISTED", "DONE", "aa.0.0.0#2/90/88/10"));

        assertThat(result.verdict(), is(AuditResult.Verdict.OVERLAP));
    }

    @Test
    void runOfALostAgentMayLiveUntilTheLastLeaseExpires() {
        String lease = line(1.200, "a", "worker-lease", "worker=w-a@1 granted=6100 clock=5200 runs=1");
        String life = line(4.000, "a", "worker-life", "worker=w-a@1 runs=0");

        assertThat(
                audit(
                                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                                lease,
                                accepted(2.300, "b", "e~1", "aa.0.0.0#2"),
                                released(2.400, "b", "LISTED", "DONE", "aa.0.0.0#2/100/98/10"),
                                life)
                        .verdict(),
                is(AuditResult.Verdict.POSSIBLE_OVERLAP));
        assertThat(
                audit(
                                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                                lease,
                                accepted(2.500, "b", "e~1", "aa.0.0.0#2"),
                                released(2.600, "b", "LISTED", "DONE", "aa.0.0.0#2/100/98/10"),
                                life)
                        .verdict(),
                is(AuditResult.Verdict.NO_OVERLAP));
    }

    @Test
    void refusedStartIsNoRun() {
        AuditResult result = audit(
                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                accepted(1.001, "b", "e~1", "aa.0.0.0#2"),
                released(1.002, "a", "START_REPLY", "REFUSED", "aa.0.0.0#1/2/-/-"),
                released(1.300, "b", "LISTED", "DONE", "aa.0.0.0#2/299/298/10"));

        assertThat(result.verdict(), is(AuditResult.Verdict.NO_OVERLAP));
    }

    @Test
    void lateLineOfAStartBelongsToItsRun() {
        AuditResult result = audit(
                released(1.030, "a", "LISTED", "DONE", "aa.0.0.0#1/20/18/-"),
                line(
                        1.040,
                        "a",
                        "runs-accepted",
                        "ago=30 worker=w-a@1 entry=e~1 age=1 expiry=5900 " + LEASE + " runs=[aa.0.0.0#1]"));

        assertThat(result.verdict(), is(AuditResult.Verdict.NO_OVERLAP));
        assertThat(result.history().withoutStart(), is(0));
    }

    // An agent that was killed finds the ends of its earlier runs in the list of the worker seconds later.
    @Test
    void endThatIsListedAfterAnAgentWasKilledIsNoSignOfLife() {
        String[] runs = {
            accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
            accepted(2.200, "b", "e~1", "aa.0.0.0#2"),
            released(4.000, "b", "LISTED", "STOPPED", "aa.0.0.0#2/1800/1798/10")
        };
        List<String> ended = new ArrayList<>(List.of(runs));
        ended.add(line(3, "a", "runs-foreign", "ago=0 worker=w-a@1 state=LAPSED " + LEASE + " runs=[aa.0.0.0#1]"));
        List<String> running = new ArrayList<>(List.of(runs));
        running.add(line(3, "a", "runs-foreign", "ago=0 worker=w-a@1 state=RUNNING " + LEASE + " runs=[aa.0.0.0#1]"));

        assertThat(AuditResult.of(ended).verdict(), is(AuditResult.Verdict.POSSIBLE_OVERLAP));
        assertThat(AuditResult.of(running).verdict(), is(AuditResult.Verdict.OVERLAP));
    }

    // A run that ended by itself existed, also if only the list of a later time tells it.
    @Test
    void foreignRunThatWasDoneWithinALongerOneOverlapsCertainly() {
        AuditResult result = audit(
                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                accepted(1.100, "b", "e~1", "aa.0.0.0#2"),
                line(
                        1.200,
                        "b",
                        "runs-foreign",
                        "ago=0 worker=w-b@1 state=DONE granted=5000 clock=5000 runs=[aa.0.0.0#2]"),
                released(9.000, "a", "LISTED", "DONE", "aa.0.0.0#1/8000/7998/10"));

        assertThat(result.verdict(), is(AuditResult.Verdict.OVERLAP));
    }

    @Test
    void leftOutLinesOfRunsMakeTheResultIncomplete() {
        String start = accepted(1.000, "a", "e~1", "aa.0.0.0#1");

        assertThat(
                audit(start, line(2, "a", "lines-left-out", "count=3 events={job-admitted=1, runs-accepted=2}"))
                        .verdict(),
                is(AuditResult.Verdict.INCOMPLETE));
        assertThat(
                audit(start, line(2, "a", "lines-left-out", "count=3")).verdict(), is(AuditResult.Verdict.INCOMPLETE));
        assertThat(
                audit(start, line(2, "a", "lines-left-out", "count=1 events={job-admitted=1}"))
                        .verdict(),
                is(AuditResult.Verdict.NO_OVERLAP));
    }

    @Test
    void releaseWithoutAStartMakesTheResultIncomplete() {
        AuditResult result = audit(
                accepted(1.000, "a", "e~1", "aa.0.0.0#1"),
                released(1.300, "b", "LISTED", "DONE", "bb.0.0.0#2/99/98/10"));

        assertThat(result.verdict(), is(AuditResult.Verdict.INCOMPLETE));
    }

    @Test
    void logWithoutStartsIsIncomplete() {
        assertThat(audit("nothing of use").verdict(), is(AuditResult.Verdict.INCOMPLETE));
    }

    @Test
    void linesOfRealProcessesAreRead() {
        AuditResult result = audit(
                "2026-12-05T09:11:00.100+00:00 INFO DecisionLog: process=a event=runs-accepted ago=0 worker=w@1 entry=e~1"
                        + " age=12 expiry=5880 " + LEASE + " runs=[aa.0.0.0#1]",
                "2026-12-05T09:11:00.200Z INFO DecisionLog: process=b event=runs-accepted ago=0 worker=x@1 entry=e~1"
                        + " age=12 expiry=5880 " + LEASE + " runs=[aa.0.0.0#2]");

        assertThat(result.verdict(), is(AuditResult.Verdict.POSSIBLE_OVERLAP));
        assertThat(result.describe(), containsString("accepted 2026-12-05T09:11:00.100Z"));
    }
}
