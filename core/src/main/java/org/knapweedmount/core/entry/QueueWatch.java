package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Reason;

/**
 * Ends submissions whose queued tasks have waited in vain.
 *
 * <p>The predicted wait decides on acceptance; this is for predictions that turned out wrong, and for tasks whose agents
 * have gone for good.
 */
final class QueueWatch {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long INTERVAL_NANOS = 50 * NANOS_PER_MILLI;
    private static final long SHORTEST_LIMIT_NANOS = 200 * NANOS_PER_MILLI;
    private static final long PERMITTED_EXCESS = 2;

    private final EntryContext context;
    private final ServiceRegistry services;
    private final Submissions submissions;
    private final Admission admission;
    private Map<TaskRun, Long> strandedSince = Map.of();
    private long checkedNanos;
    private boolean checkedBefore;

    QueueWatch(EntryContext context, ServiceRegistry services, Submissions submissions, Admission admission) {
        this.context = context;
        this.services = services;
        this.submissions = submissions;
        this.admission = admission;
    }

    /** Checks the queues if an interval has passed since the last check. */
    void tick(long nowNanos) {
        if (checkedBefore && nowNanos - checkedNanos < INTERVAL_NANOS) {
            return;
        }
        checkedBefore = true;
        checkedNanos = nowNanos;
        strandedSince = stranded(nowNanos);
        for (ServiceState service : services.all()) {
            for (FlowQueue queue : List.copyOf(service.flows().backlog())) {
                check(service, queue, nowNanos);
            }
        }
    }

    /** Returns the first tasks of the queues that no agent can be sent, with the time since when. */
    private Map<TaskRun, Long> stranded(long nowNanos) {
        Map<TaskRun, Long> stranded = new HashMap<>();
        for (ServiceState service : services.all()) {
            for (FlowQueue queue : service.flows().backlog()) {
                for (TaskRun head : queue.heads()) {
                    if (!services.hasAgentFor(head, nowNanos)) {
                        stranded.put(head, strandedSince.getOrDefault(head, nowNanos));
                    }
                }
            }
        }
        return stranded;
    }

    private void check(ServiceState service, FlowQueue queue, long nowNanos) {
        boolean dropped = true;
        while (dropped) {
            dropped = false;
            for (TaskRun head : queue.heads()) {
                if (head.phase() == TaskPhase.QUEUED) {
                    dropped |= endIfOverdue(service, queue, head, nowNanos);
                }
            }
        }
    }

    private boolean endIfOverdue(ServiceState service, FlowQueue queue, TaskRun task, long nowNanos) {
        Optional<Reason> reason = overdue(service, queue, task, nowNanos);
        if (reason.isEmpty()) {
            return false;
        }
        Submission submission = task.submission();
        submission.retryAfter(admission.spread(queue.kind().maxWaitMillis()));
        submissions.stop(submission, reason.get(), nowNanos);
        return true;
    }

    private Optional<Reason> overdue(ServiceState service, FlowQueue queue, TaskRun task, long nowNanos) {
        long waitedNanos = nowNanos - task.queuedNanos();
        long limitNanos =
                Math.max(SHORTEST_LIMIT_NANOS, PERMITTED_EXCESS * queue.kind().maxWaitMillis() * NANOS_PER_MILLI);
        boolean retry = task.firstResult().isPresent();
        if (waitedNanos > limitNanos && (retry || !task.submission().mayHaveStarted())) {
            return Optional.of(Reason.OVERLOADED);
        }
        long lostNanos = context.limits().lostTaskMillis() * NANOS_PER_MILLI;
        Long sinceNanos = strandedSince.get(task);
        if (sinceNanos != null && nowNanos - sinceNanos >= lostNanos) {
            return Optional.of(service.fits(task.need()) ? Reason.NO_ENDPOINT : Reason.FITS_NO_WORKER);
        }
        return Optional.empty();
    }
}
