package org.knapweedmount.core.dispatch;

import java.util.Set;

import org.knapweedmount.api.Incarnation;

/** Asks for the jobs that wait for a run, when an entry becomes known that may have admitted them meanwhile. */
final class QueuedJobCheck {
    private final JobTable jobs;
    private final JobOwnership ownership;

    QueuedJobCheck(JobTable jobs, JobOwnership ownership) {
        this.jobs = jobs;
        this.ownership = ownership;
    }

    /** Applies what a process tells of other entries, and asks for queued jobs if it names one that was not known. */
    void entriesReported(Runnable report, long nowNanos) {
        Set<Incarnation> before = ownership.unlinkedEntries(nowNanos);
        report.run();
        if (!before.containsAll(ownership.unlinkedEntries(nowNanos))) {
            run(nowNanos);
        }
    }

    void run(long nowNanos) {
        RequiredKnowledge required = RequiredKnowledge.ofQueuedJob(nowNanos);
        for (TrackedJob job : jobs.all()) {
            boolean queued = !job.answered() && job.hasQueued() && !ownership.isHeldElsewhere(job.id());
            if (queued && ownership.mayBeHeldElsewhere(job.id(), required, nowNanos)) {
                ownership.ask(job.id(), required, nowNanos);
            }
        }
    }
}
