package org.knapweedmount.standins.load;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class LoadReportTest {
    private static final int OVERHEAD_MICROS = 1_000;
    private static final int RUN_MICROS = 9_000;
    private static final double RECORDED_SECONDS = 4;

    private final FlowStats stats = new FlowStats(OVERHEAD_MICROS, RECORDED_SECONDS);

    @Test
    void timesAreThoseOfCompleteRequestsOnly() {
        recordResult(RequestOutcome.COMPLETE, "", 10_000);
        recordResult(RequestOutcome.COMPLETE, "", 30_000);
        recordResult(RequestOutcome.NOT_RUN, "overloaded", 500_000);
        FlowSummary summary = stats.summary("a");
        assertThat(summary.responseMillis().max(), closeTo(30, 0.1));
        assertThat(summary.responseMillis().p50(), closeTo(10, 0.1));
        assertThat(summary.ratioToIdeal().max(), closeTo(3, 0.01));
        assertThat(summary.ratioToIdeal().mean(), closeTo(2, 0.01));
    }

    @Test
    void everyRequestIsCountedOnce() {
        for (RequestOutcome outcome : RequestOutcome.values()) {
            recordResult(outcome, "", 1);
        }
        recordResult(RequestOutcome.UNKNOWN, "timeout", 1);
        FlowSummary summary = stats.summary("a");
        assertThat(summary.sent(), is(9L));
        assertThat(summary.complete() + summary.failed() + summary.notRun(), is(3L));
        assertThat(summary.unknown(), is(2L));
        assertThat(summary.unreached() + summary.lost() + summary.noAnswer() + summary.wrong(), is(4L));
        assertThat(summary.reasons(), is(Map.of("unknown timeout", 1L)));
    }

    @Test
    void refusalsHaveTimesAndARateOfTheirOwn() {
        recordResult(RequestOutcome.NOT_RUN, "overloaded", 1_000);
        recordResult(RequestOutcome.NOT_RUN, "overloaded", 3_000);
        recordResult(RequestOutcome.COMPLETE, "", 10_000);
        FlowSummary summary = stats.summary("a");
        assertThat(summary.refusalMillis().p50(), closeTo(1, 0.01));
        assertThat(summary.refusalMillis().p99(), closeTo(3, 0.01));
        assertThat(summary.refusalsPerSecond(), is(0.5));
    }

    @Test
    void requestsThatWereNotSentDoNotCountAsRefusals() {
        stats.recordNotSent();
        FlowSummary summary = stats.summary("a");
        assertThat(summary.notSent(), is(1L));
        assertThat(summary.sent() + summary.notRun(), is(0L));
    }

    @Test
    void contradictionsAndWrongAnswersViolate() {
        stats.recordResubmission(RequestOutcome.COMPLETE, RequestOutcome.COMPLETE);
        assertThat(report().hasViolations(), is(false));
        stats.recordResubmission(RequestOutcome.COMPLETE, RequestOutcome.NOT_RUN);
        assertThat(report().hasViolations(), is(true));
    }

    @Test
    void theTableHasARowForEachFlow() {
        recordResult(RequestOutcome.COMPLETE, "", 10_000);
        recordResult(RequestOutcome.NOT_RUN, "overloaded", 2_000);
        stats.recordNotSent();
        assertThat(report().table(), containsString("a                           2        1       0        1"));
        assertThat(report().table(), containsString("      2.0        2.0      0.25"));
    }

    private LoadReport report() {
        return new LoadReport(1, 1, 1, OVERHEAD_MICROS, List.of(stats.summary("a")));
    }

    private void recordResult(RequestOutcome outcome, String reason, long responseMicros) {
        stats.recordSent();
        stats.recordResult(new RequestResult(outcome, reason, "id"), responseMicros, RUN_MICROS);
    }
}
