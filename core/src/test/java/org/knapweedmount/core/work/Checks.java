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

/** What must always hold, as the workers and callers see it. */
final class Checks {
    private final Map<String, Map<String, RunRef>> holders = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    void started(String worker, RunRequest item, Resources taken, Resources capacity) {
        if (!taken.fits(capacity)) {
            violations.add("over capacity at " + worker + ": " + taken);
        }
        Map<String, RunRef> runs = holders.computeIfAbsent(item.ref().task(), none -> new HashMap<>());
        if (!runs.isEmpty()) {
            violations.add("two runs at a time: " + item.ref() + " at " + worker + " beside " + runs);
        }
        runs.put(worker, item.ref());
        starts.merge(item.ref().task().substring(0, 16), 1, Integer::sum);
    }

    void ended(String worker, RunRef ref, RunOutcome ending) {
        holders.getOrDefault(ref.task(), Map.of()).remove(worker, ref);
    }

    void gone(String worker) {
        holders.values().forEach(runs -> runs.remove(worker));
    }

    void answered(String job, JobResult verdict) {
        if (verdict.kind() == JobResult.Kind.NOT_RUN && starts.containsKey(job)) {
            violations.add("said not to have run, but did: " + job + " " + verdict.reason());
        }
    }

    int starts(String job) {
        return starts.getOrDefault(job, 0);
    }

    List<String> violations() {
        return violations;
    }
}
