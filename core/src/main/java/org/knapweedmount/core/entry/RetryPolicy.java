package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.config.KindConfig;

/**
 * Decides which requests are retried.
 *
 * <p>Only jobs of one task of a repeatable kind are retried, once, at another agent, and within a budget, so that
 * retries add little to an overload. The other agent must be in the roster version of the ID and not have started the
 * request.
 */
final class RetryPolicy {
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final EntryContext context;
    private final ServiceRegistry services;
    private final RetryBudget budget;

    RetryPolicy(EntryContext context, ServiceRegistry services) {
        this.context = context;
        this.services = services;
        this.budget = new RetryBudget(context.limits().retryShare());
    }

    /** Adds to the budget for an accepted submission. */
    void submissionAccepted() {
        budget.addRequest();
    }

    /** Returns whether a task that has ended is to be retried; if so, the budget is charged. */
    boolean tryRetry(TaskRun task, TaskResult result, long nowNanos) {
        return isRetryable(task)
                && isRetryableResult(result)
                && services.hasAgentFor(task, nowNanos)
                && budget.tryAcquire();
    }

    private boolean isRetryable(TaskRun task) {
        Submission submission = task.submission();
        if (submission.tasks().size() > 1 || submission.job().atMostOnce() || submission.stopped()) {
            return false;
        }
        Optional<KindConfig> kind = context.config().kind(task.flow().kind());
        return kind.isPresent() && kind.get().repeatable() && task.firstResult().isEmpty();
    }

    private static boolean isRetryableResult(TaskResult result) {
        return switch (result.outcome()) {
            case COMPLETE, NOT_RUN -> false;
            case UNKNOWN -> true;
            case FAILED -> result.reason() == Reason.CONNECTION_LOST || result.status() >= FIRST_SERVER_ERROR_STATUS;
        };
    }
}
