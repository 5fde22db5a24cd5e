package org.knapweedmount.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.core.dispatch.JobResult;

/** Checks invariants as observed by workers and callers. */
final class InvariantChecker {
    private final Map<String, Map<String, RunRef>> runsByTask = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    void started(String worker, RunRequest request, Resources usedCapacity, Resources capacity) {
        if (!usedCapacity.fits(capacity)) {
            violations.add("runs exceed the capacity of worker " + worker + ": " + usedCapacity);
        }
        Map<String, RunRef> runs = runsByTask.computeIfAbsent(request.ref().task(), key -> new HashMap<>());
        if (!runs.isEmpty()) {
            violations.add("concurrent runs of one task: " + request.ref() + " at " + worker + " beside " + runs);
        }
        runs.put(worker, request.ref());
        starts.merge(request.ref().task().substring(0, 16), 1, Integer::sum);
    }

    void ended(String worker, RunRef ref, RunOutcome outcome) {
        runsByTask.getOrDefault(ref.task(), Map.of()).remove(worker, ref);
    }

    void workerCrashed(String worker) {
        runsByTask.values().forEach(runs -> runs.remove(worker));
    }

    void answered(String job, JobResult result) {
        if (result.kind() == JobResult.Kind.NOT_RUN && starts.containsKey(job)) {
            violations.add("answered NOT_RUN after a task has started: " + job + " " + result.reason());
        }
    }

    int starts(String job) {
        return starts.getOrDefault(job, 0);
    }

    List<String> violations() {
        return violations;
    }
}
