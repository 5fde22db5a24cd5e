package org.knapweedmount.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * The answer to a submission.
 *
 * <p>A complete answer contains the result of each task in order. Any other final answer contains no results, so that a
 * caller cannot mistake partial results for the whole. A failed or unknown answer may report how each task ended, with
 * the endpoint's response to the first task that failed.
 *
 * @param submission the ID, empty if the submission was refused before it was given one
 * @param outcome how the submission ended; empty while it is queued or running
 * @param reason why it has this outcome
 * @param detail an explanation for the caller, empty if there is none
 * @param retryAfterMillis how long the caller should wait before it retries, in ms; 0 if no wait is recommended
 * @param results the results of all tasks if the answer is complete, otherwise none
 * @param tasks how each task ended, in order, if the answer is failed or unknown and this is known, otherwise none;
 *     only the first failed task has a body
 */
public record JobAnswer(
        Optional<SubmissionId> submission,
        Optional<Outcome> outcome,
        Reason reason,
        String detail,
        int retryAfterMillis,
        List<TaskResult> results,
        List<TaskResult> tasks) {
    /**
     * Checks that only a complete answer has results.
     *
     * @throws IllegalArgumentException if a complete answer has no results, if any other answer has results, if an
     *     answer that is neither failed nor unknown reports how tasks ended, or if it has the body of a task that did
     *     not fail
     */
    public JobAnswer {
        Objects.requireNonNull(submission, "submission");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
        results = List.copyOf(results);
        boolean complete = outcome.isPresent() && outcome.get() == Outcome.COMPLETE;
        if (complete == results.isEmpty()) {
            throw new IllegalArgumentException(
                    "an answer has results if and only if it is complete; outcome and reason: " + outcome + " "
                            + reason);
        }
        tasks = List.copyOf(tasks);
        boolean allowsTaskResults =
                outcome.isPresent() && !complete && outcome.get().mayHaveRun();
        if (!tasks.isEmpty() && !allowsTaskResults) {
            throw new IllegalArgumentException(
                    "only a failed or unknown answer reports how tasks ended, got outcome " + outcome);
        }
        if (tasks.stream()
                .anyMatch(
                        task -> task.outcome() != Outcome.FAILED && task.body().size() > 0)) {
            throw new IllegalArgumentException(
                    "an answer that is not complete has the body of a task that did not fail");
        }
    }

    /**
     * Creates a complete answer.
     *
     * @param submission the ID
     * @param results the result of each task, in order
     * @return the answer
     */
    public static JobAnswer complete(SubmissionId submission, List<TaskResult> results) {
        return new JobAnswer(
                Optional.of(submission), Optional.of(Outcome.COMPLETE), Reason.NONE, "", 0, results, List.of());
    }

    /**
     * Creates a final answer without results.
     *
     * @param submission the ID, empty if the submission has none
     * @param outcome any outcome but {@link Outcome#COMPLETE}
     * @param reason why the submission has this outcome
     * @param detail an explanation for the caller, empty if there is none
     * @return the answer
     */
    public static JobAnswer ended(Optional<SubmissionId> submission, Outcome outcome, Reason reason, String detail) {
        return new JobAnswer(submission, Optional.of(outcome), reason, detail, 0, List.of(), List.of());
    }

    /**
     * Creates an answer for a submission that is still queued or running.
     *
     * @param submission the ID
     * @return the answer
     */
    public static JobAnswer pending(SubmissionId submission) {
        return new JobAnswer(Optional.of(submission), Optional.empty(), Reason.NONE, "", 0, List.of(), List.of());
    }

    /**
     * Returns a copy of this answer with the time that the caller should wait before it retries.
     *
     * @param millis the time to wait, in ms
     * @return the modified copy
     */
    public JobAnswer retryAfter(int millis) {
        return new JobAnswer(submission, outcome, reason, detail, millis, results, tasks);
    }

    /**
     * Returns a copy of this answer that reports how each task ended, without any body except that of the first failed
     * task.
     *
     * @param taskResults how each task ended, in order
     * @return the modified copy
     */
    public JobAnswer withTasks(List<TaskResult> taskResults) {
        List<TaskResult> reduced = new ArrayList<>(taskResults.size());
        boolean failedSeen = false;
        for (TaskResult taskResult : taskResults) {
            boolean firstFailed = !failedSeen && taskResult.outcome() == Outcome.FAILED;
            failedSeen |= firstFailed;
            reduced.add(firstFailed ? taskResult : taskResult.withoutBody());
        }
        return new JobAnswer(submission, outcome, reason, detail, retryAfterMillis, results, reduced);
    }

    /**
     * Returns the index of the first task that failed.
     *
     * @return the index, empty if no task is known to have failed
     */
    public OptionalInt firstFailed() {
        return IntStream.range(0, tasks.size())
                .filter(i -> tasks.get(i).outcome() == Outcome.FAILED)
                .findFirst();
    }
}
