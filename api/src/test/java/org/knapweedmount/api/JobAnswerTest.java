package org.knapweedmount.api;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class JobAnswerTest {
    private static final SubmissionId ID = new SubmissionId(new Incarnation("entry-1", 255), 17, 3);
    private static final TaskResult COMPLETE = TaskResult.complete(200, "text/plain", Payload.of("red"));
    private static final TaskResult FAILED =
            new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, 404, "text/plain", Payload.of("no lens"));

    @Test
    void failedAnswerKeepsTheBodyOfTheFirstFailedTaskOnly() {
        JobAnswer answer = ended(Outcome.FAILED).withTasks(List.of(COMPLETE, FAILED, FAILED));

        assertThat(answer.tasks(), contains(COMPLETE.withoutBody(), FAILED, FAILED.withoutBody()));
        assertThat(answer.firstFailed(), is(OptionalInt.of(1)));
    }

    @Test
    void partialResultsAreRejected() {
        Optional<Outcome> failed = Optional.of(Outcome.FAILED);

        assertThrows(
                IllegalArgumentException.class,
                () -> new JobAnswer(
                        Optional.of(ID), failed, Reason.TASK_FAILED, "", 0, List.of(), List.of(COMPLETE, FAILED)));
        assertThrows(
                IllegalArgumentException.class,
                () -> new JobAnswer(Optional.of(ID), failed, Reason.TASK_FAILED, "", 0, List.of(COMPLETE), List.of()));
    }

    @ParameterizedTest
    @EnumSource(names = {"COMPLETE", "NOT_RUN"})
    void taskResultsAreRejectedInOtherAnswers(Outcome outcome) {
        assertThrows(
                IllegalArgumentException.class,
                () -> (outcome == Outcome.COMPLETE ? JobAnswer.complete(ID, List.of(COMPLETE)) : ended(outcome))
                        .withTasks(List.of(FAILED)));
    }

    private static JobAnswer ended(Outcome outcome) {
        return JobAnswer.ended(Optional.of(ID), outcome, Reason.TASK_FAILED, "");
    }
}
