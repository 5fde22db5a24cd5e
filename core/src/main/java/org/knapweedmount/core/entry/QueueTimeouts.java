package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Reason;

/**
 * Stops submissions whose queued tasks have waited too long.
 *
 * <p>Admission uses the predicted wait; this handles predictions that were too low, and tasks whose agents will not
 * return.
 */
final class QueueTimeouts {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long CHECK_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;
    private static final long MIN_WAIT_LIMIT_NANOS = 200 * NANOS_PER_MILLI;
    private static final long MAX_WAIT_FACTOR = 2;

    private final EntryContext context;
    private final ServiceRegistry services;
    private final Submissions submissions;
    private final Admission admission;
    private Map<TaskRun, Long> unservableSinceNanos = Map.of();
    private long checkedNanos;
    private boolean everChecked;

    QueueTimeouts(EntryContext context, ServiceRegistry services, Submissions submissions, Admission admission) {
        this.context = context;
        this.services = services;
        this.submissions = submissions;
        this.admission = admission;
    }

    /** Checks the queues if an interval has passed since the last check. */
    void tick(long nowNanos) {
        if (everChecked && nowNanos - checkedNanos < CHECK_INTERVAL_NANOS) {
            return;
        }
        everChecked = true;
        checkedNanos = nowNanos;
        unservableSinceNanos = unservableTasks(nowNanos);
        for (ServiceState service : services.all()) {
            for (FlowQueue queue : List.copyOf(service.queues().backlog())) {
                check(service, queue, nowNanos);
            }
        }
    }

    /** Returns the first tasks of the queues that cannot be sent to any agent, with the time each was first found. */
    private Map<TaskRun, Long> unservableTasks(long nowNanos) {
        Map<TaskRun, Long> unservable = new HashMap<>();
        for (ServiceState service : services.all()) {
            for (FlowQueue queue : service.queues().backlog()) {
                for (TaskRun head : queue.heads()) {
                    if (!services.hasAgentFor(head, nowNanos)) {
                        unservable.put(head, unservableSinceNanos.getOrDefault(head, nowNanos));
                    }
                }
            }
        }
        return unservable;
    }

    private void check(ServiceState service, FlowQueue queue, long nowNanos) {
        boolean stopped = true;
        while (stopped) {
            stopped = false;
            for (TaskRun head : queue.heads()) {
                if (head.phase() == TaskPhase.QUEUED) {
                    stopped |= stopIfOverdue(service, queue, head, nowNanos);
                }
            }
        }
    }

    private boolean stopIfOverdue(ServiceState service, FlowQueue queue, TaskRun task, long nowNanos) {
        Optional<Reason> reason = stopReason(service, queue, task, nowNanos);
        if (reason.isEmpty()) {
            return false;
        }
        Submission submission = task.submission();
        submission.retryAfter(admission.jitteredRetryAfterMillis(queue.kind().maxWaitMillis()));
        submissions.stop(submission, reason.get(), nowNanos);
        return true;
    }

    private Optional<Reason> stopReason(ServiceState service, FlowQueue queue, TaskRun task, long nowNanos) {
        long waitedNanos = nowNanos - task.queuedNanos();
        long limitNanos =
                Math.max(MIN_WAIT_LIMIT_NANOS, MAX_WAIT_FACTOR * queue.kind().maxWaitMillis() * NANOS_PER_MILLI);
        boolean retry = task.firstResult().isPresent();
        if (waitedNanos > limitNanos && (retry || !task.submission().mayHaveStarted())) {
            return Optional.of(Reason.OVERLOADED);
        }
        long unservableLimitNanos = context.limits().lostTaskMillis() * NANOS_PER_MILLI;
        Long sinceNanos = unservableSinceNanos.get(task);
        if (sinceNanos != null && nowNanos - sinceNanos >= unservableLimitNanos) {
            return Optional.of(service.fits(task.requiredResources()) ? Reason.NO_ENDPOINT : Reason.FITS_NO_WORKER);
        }
        return Optional.empty();
    }
}
