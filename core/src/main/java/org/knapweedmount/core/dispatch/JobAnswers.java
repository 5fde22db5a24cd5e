package org.knapweedmount.core.dispatch;

import java.util.concurrent.TimeUnit;

/** Answers jobs, and records their latency and, if they miss their target, their history. */
final class JobAnswers {
    private final DispatchOutput output;
    private final DispatchEvents events;
    private final JobLatencies latencies = new JobLatencies();

    JobAnswers(DispatchOutput output, DispatchEvents events) {
        this.output = output;
        this.events = events;
    }

    JobLatencies latencies() {
        return latencies;
    }

    void answer(TrackedJob job, JobResult result, long nowNanos) {
        latencies.record(result.kind(), TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivalNanos()));
        events.answered(job, result, nowNanos);
        if (!job.metTarget(result, nowNanos)) {
            job.history().add(result.kind() + " " + result.reason(), nowNanos);
            output.logEvent("job-trail", "job=" + job.id() + " trail=\"" + job.history() + "\"");
        }
        output.answer(job.id(), result);
    }
}
