package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Decides from which workers that are closed for their health runs are ordered all the same, so that a service is never
 * emptied.
 *
 * <p>Load pattern: three fifths of all workers are ill or seem to be, because the tasks of one caller fail everywhere. Once more
 * than half of the workers of a service are closed, as many of them are used as bring it back to half, those with
 * the oldest failure first: a worker that fails again moves to the end.
 */
final class HealthFloor {
    private final BiConsumer<String, String> log;
    private final Map<String, Integer> usedWorkers = new HashMap<>();

    /**
     * Creates a floor for all services.
     *
     * @param log receives an event and its detail
     */
    HealthFloor(BiConsumer<String, String> log) {
        this.log = log;
    }

    /** Chooses the workers of a service, which are all that are linked, and logs a change of their number. */
    void update(String service, List<WorkerView> workers) {
        List<WorkerView> unhealthy = new ArrayList<>();
        int open = 0;
        for (WorkerView worker : workers) {
            worker.useBeyondFloor(false);
            if (worker.reportsUnhealthy()) {
                unhealthy.add(worker);
            } else if (worker.reportsAcceptance()) {
                open++;
            }
        }
        int used = Math.max(0, missing(open, unhealthy.size()));
        unhealthy.sort(Comparator.comparingLong(WorkerView::unhealthySinceNanos));
        unhealthy.subList(0, used).forEach(worker -> worker.useBeyondFloor(true));
        logChange(service, used, open, unhealthy.size());
    }

    /** Returns how many of the unhealthy workers have to be used; none as long as at least half of all are open. */
    static int missing(int open, int unhealthy) {
        int half = (open + unhealthy + 1) / 2;
        return 2 * unhealthy > open + unhealthy ? half - open : 0;
    }

    private void logChange(String service, int used, int open, int unhealthy) {
        int before = usedWorkers.getOrDefault(service, 0);
        if (used == before) {
            return;
        }
        usedWorkers.put(service, used);
        log.accept(
                "health-floor", "service=" + service + " used=" + used + " open=" + open + " unhealthy=" + unhealthy);
    }
}
