package org.knapweedmount.standins.audit;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.stringContainsInOrder;

class OverlapCauseTest {
    private static final String LEASE = "granted=5900 clock=5000";
    private static final String KNOWN = "entries=1 unlinked=[e3~3]";

    private final List<String> lines = new ArrayList<>();

    private void log(double seconds, String process, String event, String detail) {
        lines.add(String.format(
                "%10.4f %s 2026-01-01T22:32:10.457Z INFO DecisionLog: process=%s event=%s %s",
                seconds, process, process, event, detail));
    }

    /** Logs a run that an agent has for 300 ms and that its worker lists meanwhile. */
    private void logRun(double seconds, String agent, String entry, String ref) {
        String process = entry.split("~", 2)[0];
        log(
                seconds - 0.001,
                process,
                "runs-ordered",
                "ago=0 agent=" + agent + "~0a link=1 report=30 offer=0 free=4000 tasks=[" + ref + "]");
        String run = "worker=w-" + agent + "@1 entry=" + entry + " " + LEASE;
        log(seconds, agent, "runs-accepted", "ago=0 " + run + " age=12 expiry=5880 runs=[" + ref + "]");
        log(
                seconds + 0.3,
                agent,
                "runs-released",
                "ago=0 " + run + " evidence=LISTED outcome=DONE runs=[" + ref + "/300/298/10]");
    }

    private void logAdmission(double seconds, String entry, String upMillis, String waited, String jobs) {
        log(
                seconds,
                entry,
                "jobs-admitted",
                "ago=0 up=" + upMillis + " " + KNOWN + " submitted=0 " + waited + " jobs=[" + jobs + "]");
    }

    private void logRunsOfOneEntry() {
        logAdmission(10.0, "e1", "9000", "waited-for=NOTHING waited=0", "aa");
        logRun(10.001, "a", "e1~1", "aa.0.0.0#1");
        log(
                10.1,
                "e1",
                "run-lost",
                "ago=0 agent=x~0b cause=AGENT_SILENT link=1 runs=[xx.0.0.0#1]; ago=10 agent=a~0a cause=NEW_LINK link=2"
                        + " runs=[bb.0.0.0#1, aa.0.0.0#1]");
        logRun(10.11, "b", "e1~1", "aa.0.0.0#2");
    }

    private void logRunsOfTwoEntries() {
        logAdmission(20.0, "e1", "19000", "waited-for=NOTHING waited=0", "cc, dd");
        logRun(20.001, "a", "e1~1", "cc.0.0.0#1");
        log(16.0, "e2", "first-agent-linked", "agent=old~0a up=1");
        log(19.9, "e2", "first-agent-linked", "agent=a~0a up=50");
        log(19.95, "e2", "entries-known", "change=linked by=e3~3 linked=[e3~3] unlinked=[]");
        log(19.96, "e2", "linked", "peer=a~0a");
        log(19.97, "e2", "linked", "peer=e1~1");
        log(20.05, "e2", "job-elsewhere", "ago=0 entry=e3~3 jobs=[cc]; ago=0 entry=e3~3 jobs=[zz]");
        log(20.06, "e2", "job-released", "ago=0 reason=ended-there waited-for=LINKED_ENTRY millis=10 jobs=[cc]");
        log(20.07, "e2", "job-yielded", "job=dd entry=e1~1 held=false");
        logAdmission(20.08, "e2", "230", "waited-for=LINKED_ENTRY waited=10", "cc");
        logRun(20.081, "b", "e2~2", "cc.0.0.0#1");
        log(20.2, "e2", "jobs-held-twice", "entry=e1~1 unanswered=[cc] answered=[]");
    }

    private String describe() {
        AuditResult result = AuditResult.of(lines);
        assertThat(result.verdict(), is(AuditResult.Verdict.OVERLAP));
        return result.describe();
    }

    // A task that one entry ordered twice has its cause between the two orders.
    @Test
    void runThatItsEntryGaveUpHasTheCauseOfTheLoss() {
        logRunsOfOneEntry();

        String text = describe();

        assertThat(
                text,
                stringContainsInOrder(
                        "cause: one entry, e1~1, ordered both runs",
                        "aa.0.0.0#1 given up before the other was accepted: 10.090 s run-lost agent=a~0a cause=NEW_LINK"
                                + " link=2",
                        "admission of aa for aa.0.0.0#1 at e1~1: 10.000 s jobs-admitted up=9000 " + KNOWN,
                        "lines of e1 from 10.001 s to 10.110 s:",
                        "none about the job or other entries"));
        assertThat(text, not(containsString("for aa.0.0.0#2")));
    }

    // A task that two entries ordered has its cause in what the second one knew when it admitted the job.
    @Test
    void runsOfTwoEntriesHaveBothAdmissionsAndTheLinesOfTheSecond() {
        logRunsOfTwoEntries();

        String text = describe();

        assertThat(
                text,
                stringContainsInOrder(
                        "cause: two entries, e1~1 and e2~2",
                        "admission of cc for cc.0.0.0#1 at e1~1: 20.000 s jobs-admitted up=19000 " + KNOWN
                                + " submitted=0 waited-for=NOTHING waited=0",
                        "admission of cc for cc.0.0.0#1 at e2~2: 20.080 s jobs-admitted up=230 " + KNOWN
                                + " submitted=0 waited-for=LINKED_ENTRY waited=10",
                        "lines of e2 from 17.080 s to 20.080 s:",
                        "19.900 s first-agent-linked agent=a~0a up=50",
                        "19.950 s entries-known change=linked by=e3~3 linked=[e3~3] unlinked=[]",
                        "19.970 s linked peer=e1~1",
                        "20.050 s job-elsewhere entry=e3~3",
                        "20.060 s job-released reason=ended-there waited-for=LINKED_ENTRY millis=10"));
        assertThat(text, not(containsString("old~0a")));
        assertThat(text, not(containsString("job-yielded")));
        assertThat(text, not(containsString("jobs-held-twice")));
        assertThat(text, not(containsString("linked peer=a~0a")));
    }

    // A log of several overlaps must not mix up their entries.
    @Test
    void eachOverlapHasItsOwnCause() {
        logRunsOfOneEntry();
        logRunsOfTwoEntries();

        assertThat(
                describe(),
                stringContainsInOrder(
                        "overlap of two runs of aa.0.0.0",
                        "cause: one entry",
                        "overlap of two runs of cc.0.0.0",
                        "cause: two entries"));
    }

    // An entry that was killed and started again has the same name and knows nothing of its earlier runs.
    @Test
    void laterIncarnationOfAnEntryIsAnotherEntry() {
        logAdmission(10.0, "e1", "9000", "waited-for=NOTHING waited=0", "aa");
        logRun(10.001, "a", "e1~1", "aa.0.0.0#1");
        logAdmission(10.1, "e1", "20", "waited-for=NOTHING waited=0", "aa");
        logRun(10.11, "b", "e1~5", "aa.0.0.0#1");

        assertThat(
                describe(),
                stringContainsInOrder(
                        "cause: two entries, e1~1 and e1~5, the same process started again",
                        "at e1~1: 10.000 s jobs-admitted up=9000",
                        "at e1~5: 10.100 s jobs-admitted up=20"));
    }

    // A job that was answered and admitted once more is run again by the same entry without a loss.
    @Test
    void secondAdmissionAtTheSameEntryIsShown() {
        logRunsOfOneEntry();
        logAdmission(10.105, "e1", "9105", "waited-for=EARLIER_RUNS waited=5", "aa");

        assertThat(
                describe(),
                stringContainsInOrder(
                        "for aa.0.0.0#1 at e1~1: 10.000 s jobs-admitted",
                        "for aa.0.0.0#2 at e1~1: 10.105 s jobs-admitted up=9105"));
    }

    // Missing lines must not look like a cause.
    @Test
    void missingLinesAreNamed() {
        logRun(10.001, "a", "e1~1", "aa.0.0.0#1");
        logRun(10.11, "b", "e1~1", "aa.0.0.0#2");
        logRun(20.001, "a", "e1~1", "cc.0.0.0#1");
        logRun(20.081, "b", "e2~2", "cc.0.0.0#1");

        assertThat(
                describe(),
                stringContainsInOrder(
                        "aa.0.0.0#1: no line of the entry tells why it no longer counted on this run",
                        "admission of aa for aa.0.0.0#1 at e1~1: no line",
                        "admission of cc for cc.0.0.0#1 at e1~1: no line",
                        "admission of cc for cc.0.0.0#1 at e2~2: no line",
                        "lines of e2 from 17.081 s to 20.081 s:",
                        "none about the job or other entries"));
    }

    // The line with the inputs of an admission is the only one in the logs of earlier programs.
    @Test
    void admissionAndLossOfEarlierProgramsAreRead() {
        log(10.0, "e1", "job-admitted", "job=aa queue=q tasks=1 chain=300");
        logRun(10.001, "a", "e1~1", "aa.0.0.0#1");
        log(10.1, "e1", "run-lost", "task=aa.0.0.0 run=1 agent=a~0a cause=AGENT_SILENT link=1");
        logRun(10.11, "b", "e1~1", "aa.0.0.0#2");

        assertThat(
                describe(),
                stringContainsInOrder(
                        "given up before the other was accepted: 10.100 s run-lost task=aa.0.0.0 run=1 agent=a~0a"
                                + " cause=AGENT_SILENT",
                        "at e1~1: 10.000 s job-admitted job=aa queue=q"));
    }
}
