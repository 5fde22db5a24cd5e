package org.knapweedmount.core.fleet;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.SealedBatch;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;

/** Checks that the assertions of {@link FleetTest} fail when a mechanism behind a guarantee is broken. */
class BrokenMechanismTest {
    private static final long FIRST_SEED = 11;
    private static final long LAST_SEED = 18;

    @Test
    void sealsThatOmitStartedTasksCauseAFalseNotRunAnswer() {
        List<String> violations = violations(run -> run.withInterceptor(BrokenMechanismTest::hideStarts));

        assertThat(violations, hasItem(containsString("was answered not-run, but was started")));
    }

    @Test
    void agentsThatDenyStartedTasksCauseASecondStart() {
        List<String> violations = violations(run -> run.withInterceptor(BrokenMechanismTest::denyStarts));

        assertThat(violations, hasItem(containsString("was started 2 times")));
    }

    @Test
    void resultsOfOtherTasksCauseAWrongAnswer() {
        List<String> violations = violations(run -> run.withInterceptor(BrokenMechanismTest::replaceBody));

        assertThat(violations, hasItem(containsString("got a wrong answer")));
    }

    @Test
    void claimsWithoutAConditionCauseASecondStart() {
        List<String> violations = violations(FleetRun::withUnconditionalClaims);

        assertThat(violations, hasItem(containsString("was started 2 times")));
    }

    private static List<String> violations(Function<FleetRun, FleetRun> change) {
        return LongStream.rangeClosed(FIRST_SEED, LAST_SEED)
                .mapToObj(seed -> change.apply(FleetRun.of(seed)).run().violations())
                .flatMap(List::stream)
                .toList();
    }

    private static Message hideStarts(Message message) {
        if (message instanceof Sealed sealed) {
            return hideStarts(sealed);
        }
        if (message instanceof SealedBatch batch) {
            return new SealedBatch(batch.answers().stream()
                    .map(BrokenMechanismTest::hideStarts)
                    .toList());
        }
        return message;
    }

    private static Sealed hideStarts(Sealed sealed) {
        return new Sealed(sealed.request(), sealed.submission(), true, List.of());
    }

    private static Message denyStarts(Message message) {
        if (message instanceof Resumed resumed) {
            List<TaskReport> denied = resumed.tasks().stream()
                    .map(report -> new TaskReport(report.task(), TaskState.NOT_STARTED, Optional.empty()))
                    .toList();
            return new Resumed(resumed.lastSequence(), denied);
        }
        return message;
    }

    private static Message replaceBody(Message message) {
        if (message instanceof Finished finished) {
            TaskResult result = finished.result();
            TaskResult other = new TaskResult(
                    result.outcome(), result.reason(), result.status(), result.contentType(), Payload.of("other"));
            return new Finished(finished.task(), finished.runMicros(), other, finished.next());
        }
        return message;
    }
}
