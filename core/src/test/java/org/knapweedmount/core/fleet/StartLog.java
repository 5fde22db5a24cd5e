package org.knapweedmount.core.fleet;

import java.util.HashMap;
import java.util.Map;

/** Log kept by the executors of the number of starts per task, keyed by the unique path of the task. */
final class StartLog {
    private final Map<String, Integer> starts = new HashMap<>();

    void started(String path) {
        starts.merge(path, 1, Integer::sum);
    }

    int starts(String path) {
        return starts.getOrDefault(path, 0);
    }
}
