package org.knapweedmount.core.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides whether a job is refused for the number of its tasks or the length of its texts, before any task is set up.
 *
 * <p>Load pattern: callers submit jobs of so many tasks that one of them, or all together, fill the heap of the entry. A
 * task takes memory whatever it is said to run for, so the estimated work does not bound it.
 */
final class JobSizeRule {
    /** When the caller of a refused job may retry, in ms; by then jobs that this entry holds have ended. */
    private static final int RETRY_AFTER_MILLIS = 1_000;

    /** The longest text that a link carries, in bytes of UTF-8. */
    private static final int MAX_TEXT_BYTES = 16_384;

    private static final int MAX_BYTES_PER_CHAR = 3;

    private JobSizeRule() {}

    /**
     * Returns the answer to a job that is not queued for its size, empty for any other.
     *
     * @param request the job
     * @param heldTasks the number of tasks of all jobs that this entry holds
     * @param settings the limits
     */
    static Optional<JobResult> refusal(JobRequest request, long heldTasks, DispatchSettings settings) {
        long tasks = request.taskCount();
        if (tasks > settings.maxJobTasks()) {
            String reason = "the job has " + tasks + " tasks, the limit is " + settings.maxJobTasks();
            return Optional.of(JobResult.failed(reason));
        }
        if (texts(request).anyMatch(JobSizeRule::isTooLong)) {
            return Optional.of(JobResult.failed("a text of the job is longer than " + MAX_TEXT_BYTES + " bytes"));
        }
        if (heldTasks + tasks > settings.maxHeldTasks()) {
            return Optional.of(JobResult.notRun("the entry holds " + heldTasks + " tasks", RETRY_AFTER_MILLIS));
        }
        return Optional.empty();
    }

    private static Stream<String> texts(JobRequest request) {
        Stream<String> labels = request.steps().stream()
                .flatMap(step -> Stream.concat(step.requires().stream(), step.affinity().stream()));
        return Stream.concat(Stream.of(request.spec()), labels);
    }

    private static boolean isTooLong(String text) {
        return text.length() * MAX_BYTES_PER_CHAR > MAX_TEXT_BYTES
                && text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES;
    }
}
