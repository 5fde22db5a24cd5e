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
 * <p>An answer that is complete holds the result of each task in order; any other final answer holds none, so that no
 * caller can take a part for the whole. A failed or unknown answer may tell how each task ended, with what the endpoint
 * said to the first task that failed.
 *
 * @param submission the id, empty if the submission was refused before it had one
 * @param outcome how the submission ended; empty while it is still queued or running
 * @param reason why it has this outcome
 * @param detail a sentence for the caller, empty if there is nothing to add
 * @param retryAfterMillis how long the caller should wait before it tries again, in ms, 0 if it makes no difference
 * @param results the results of all tasks if complete, else none
 * @param tasks how each task ended, in order, if failed or unknown and if this is known, else none; only the first failed
 *     task has a body
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
     * Checks that results come with a complete outcome only, and that no other answer has a part of them.
     *
     * @throws IllegalArgumentException if an answer that is not complete has results, or has the body of a task that did
     *     not fail
     */
    public JobAnswer {
        Objects.requireNonNull(submission, "submission");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
        results = List.copyOf(results);
        boolean complete = outcome.isPresent() && outcome.get() == Outcome.COMPLETE;
        if (complete == results.isEmpty()) {
            throw new IllegalArgumentException("results belong to complete answers: " + outcome + " " + reason);
        }
        tasks = List.copyOf(tasks);
        boolean allowsTaskResults =
                outcome.isPresent() && !complete && outcome.get().mayHaveRun();
        if (!tasks.isEmpty() && !allowsTaskResults) {
            throw new IllegalArgumentException("the endings of tasks belong to failed and unknown answers: " + outcome);
        }
        if (tasks.stream()
                .anyMatch(
                        task -> task.outcome() != Outcome.FAILED && task.body().size() > 0)) {
            throw new IllegalArgumentException("only a failed task may have a body");
        }
    }

    /**
     * Creates a complete answer.
     *
     * @param submission the id
     * @param results the result of each task, in order
     * @return the answer
     */
    public static JobAnswer complete(SubmissionId submission, List<TaskResult> results) {
        return new JobAnswer(
                Optional.of(submission), Optional.of(Outcome.COMPLETE), Reason.NONE, "", 0, results, List.of());
    }

    /**
     * Creates an answer that ends a submission without results.
     *
     * @param submission the id, empty if it has none
     * @param outcome any outcome but complete
     * @param reason why
     * @param detail a sentence for the caller
     * @return the answer
     */
    public static JobAnswer ended(Optional<SubmissionId> submission, Outcome outcome, Reason reason, String detail) {
        return new JobAnswer(submission, Optional.of(outcome), reason, detail, 0, List.of(), List.of());
    }

    /**
     * Creates an answer for a submission that is still queued or running.
     *
     * @param submission the id
     * @return the answer
     */
    public static JobAnswer pending(SubmissionId submission) {
        return new JobAnswer(Optional.of(submission), Optional.empty(), Reason.NONE, "", 0, List.of(), List.of());
    }

    /**
     * Returns this answer with a time to wait before the next try.
     *
     * @param millis the time to wait, in ms
     * @return the changed copy
     */
    public JobAnswer retryAfter(int millis) {
        return new JobAnswer(submission, outcome, reason, detail, millis, results, tasks);
    }

    /**
     * Returns this answer with the endings of the tasks; of the bodies only that of the first failed task is kept.
     *
     * @param taskResults how each task ended, in order
     * @return the changed copy
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
     * @return the index, empty if it is not known that one did
     */
    public OptionalInt firstFailed() {
        return IntStream.range(0, tasks.size())
                .filter(i -> tasks.get(i).outcome() == Outcome.FAILED)
                .findFirst();
    }
}
