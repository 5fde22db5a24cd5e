package org.knapweedmount.standins.soak;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that nothing is started on the workers of a closed data centre.
 *
 * <p>Times are in ms since the start of the soak. Not thread-safe.
 */
final class ClosedWorkers {
    /** The platform's bound for the effect of the order to close a data centre, in ms. */
    static final int EVACUATION_MILLIS = 5_000;

    private final Map<String, Long> closedMillis = new HashMap<>();

    /** Records that the order to close a data centre is confirmed; its workers' names begin with the given texts. */
    void close(Collection<String> workers, long millis) {
        workers.forEach(worker -> closedMillis.put(worker, millis));
    }

    /** Records that the order to close a data centre is removed. */
    void reopen(Collection<String> workers) {
        workers.forEach(closedMillis::remove);
    }

    /** Returns the broken rule if a worker may not start a run. */
    Optional<Violation> started(String worker, String task, long millis) {
        return closedMillis.entrySet().stream()
                .filter(closed -> worker.startsWith(closed.getKey()))
                .map(Map.Entry::getValue)
                .filter(closed -> millis - closed > EVACUATION_MILLIS)
                .findFirst()
                .map(closed -> new Violation(
                        Violation.Rule.EVACUATED,
                        millis,
                        "task " + task + " at worker " + worker + "; its data centre is closed since " + closed));
    }
}
