package org.knapweedmount.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.entry.EntryCore;
import org.knapweedmount.core.entry.SubmissionRequest;
import org.knapweedmount.daemon.http.CallerRequestHandler;

/** Passes requests of callers to the core and fills in the default kind of tasks; used on the decision thread. */
final class CoreRequestHandler implements CallerRequestHandler {
    private final EntryCore core;
    private final ConfigState config;

    CoreRequestHandler(EntryCore core, ConfigState config) {
        this.core = core;
        this.config = config;
    }

    @Override
    public List<SubmissionId> issueIds(int count) {
        return core.issue(count);
    }

    @Override
    public void submit(long request, SubmissionRequest submission, long nowNanos) {
        core.submit(request, withDefaultKinds(submission), nowNanos);
    }

    @Override
    public void status(long request, SubmissionId id, boolean awaitEnd, long nowNanos) {
        core.status(request, id, awaitEnd, nowNanos);
    }

    @Override
    public void cancel(long request, SubmissionId id, long nowNanos) {
        core.cancel(request, id, nowNanos);
    }

    private SubmissionRequest withDefaultKinds(SubmissionRequest submission) {
        JobSpec job = submission.job();
        Optional<ServiceConfig> service = config.service(submission.service());
        boolean allHaveKinds =
                job.tasks().stream().noneMatch(task -> task.kind().isEmpty());
        if (allHaveKinds || service.isEmpty()) {
            return submission;
        }
        List<TaskSpec> tasks = new ArrayList<>(job.tasks().size());
        for (TaskSpec task : job.tasks()) {
            tasks.add(task.kind().isEmpty() ? withKind(task, service.get().defaultKind()) : task);
        }
        return new SubmissionRequest(
                submission.id(),
                submission.key(),
                submission.firstAttempt(),
                submission.service(),
                new JobSpec(job.team(), job.atMostOnce(), tasks),
                submission.awaitEnd());
    }

    private static TaskSpec withKind(TaskSpec task, String kind) {
        return new TaskSpec(
                kind,
                task.method(),
                task.path(),
                task.contentType(),
                task.body(),
                task.declaredMillis(),
                task.resources());
    }
}
