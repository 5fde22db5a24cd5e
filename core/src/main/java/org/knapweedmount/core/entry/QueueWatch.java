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
    private final Services services;
    private final Submissions submissions;
    private final Admission admission;
    private final Map<Stranded, Long> strandedSince = new HashMap<>();
    private long checkedNanos;
    private boolean checkedBefore;

    /**
     * The queued tasks of a service with a roster version of which no agent takes new work.
     *
     * @param service the service's name
     * @param version the roster version
     */
    private record Stranded(String service, int version) {}

    QueueWatch(EntryContext context, Services services, Submissions submissions, Admission admission) {
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
        strandedSince.keySet().removeIf(stranded -> !isStranded(stranded));
        for (ServiceState service : services.all()) {
            for (FlowQueue queue : List.copyOf(service.flows().backlog())) {
                check(service, queue, nowNanos);
            }
        }
    }

    private boolean isStranded(Stranded stranded) {
        Optional<ServiceState> service = services.find(stranded.service());
        return service.isPresent()
                && !service.get().serves(stranded.version())
                && service.get().flows().backlog().stream().anyMatch(queue -> queue.hasVersion(stranded.version()));
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
        if (strandedNanos(service, task, nowNanos) >= lostNanos) {
            return Optional.of(Reason.NO_ENDPOINT);
        }
        if (waitedNanos > lostNanos && !service.fits(task.need())) {
            return Optional.of(Reason.FITS_NO_WORKER);
        }
        return Optional.empty();
    }

    private long strandedNanos(ServiceState service, TaskRun task, long nowNanos) {
        int version = task.id().submission().rosterVersion();
        if (service.serves(version)) {
            return 0;
        }
        return nowNanos - strandedSince.computeIfAbsent(new Stranded(service.name(), version), unused -> nowNanos);
    }
}
