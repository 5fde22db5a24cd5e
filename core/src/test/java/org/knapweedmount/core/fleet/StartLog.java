package org.knapweedmount.core.fleet;

import java.util.HashMap;
import java.util.Map;

/** The executors' own log of what they started, by the path of each task, which is unique to a caller's task. */
final class StartLog {
    private final Map<String, Integer> starts = new HashMap<>();

    void started(String path) {
        starts.merge(path, 1, Integer::sum);
    }

    int starts(String path) {
        return starts.getOrDefault(path, 0);
    }
}
