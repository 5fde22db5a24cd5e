package org.knapweedmount.core.dispatch;

/**
 * Holds back further runs of all jobs when an entry becomes known that may have admitted them meanwhile, and asks for those
 * that wait for a run.
 */
final class QueuedJobCheck {
    private final JobTable jobs;
    private final JobOwnership ownership;

    QueuedJobCheck(JobTable jobs, JobOwnership ownership) {
        this.jobs = jobs;
        this.ownership = ownership;
    }

    /** Handles a report of other entries that may name one of which nothing was known. */
    void entriesReported(boolean unknown, long nowNanos) {
        if (!unknown) {
            return;
        }
        RequiredKnowledge required = RequiredKnowledge.ofQueuedJob(nowNanos);
        for (TrackedJob job : jobs.all()) {
            if (!job.answered()) {
                ownership.mayBeHeldElsewhere(job.id(), required, nowNanos);
            }
        }
        tick(nowNanos);
    }

    /** Asks for the jobs that wait for a run by now and have not been asked for. */
    void tick(long nowNanos) {
        for (String id : ownership.unaskedJobs()) {
            if (jobs.find(id).filter(TrackedJob::hasQueued).isPresent()) {
                ownership.ask(id, RequiredKnowledge.ofQueuedJob(nowNanos), nowNanos);
            }
        }
    }
}
