package org.knapweedmount.core.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The queues with recent job arrivals. */
final class RecentQueues {
    /** How long a queue stays active after its last job; an entry receives several jobs of each kind in that time. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Map<String, Map<String, Long>> arrivals = new LinkedHashMap<>();

    void recordArrival(String service, String queue, long nowNanos) {
        arrivals.computeIfAbsent(service, key -> new LinkedHashMap<>()).put(queue, nowNanos);
    }

    Collection<String> activeQueues(String service, long nowNanos) {
        Map<String, Long> queues = arrivals.getOrDefault(service, Map.of());
        queues.values().removeIf(last -> nowNanos - last > RETENTION_NANOS);
        return queues.keySet();
    }
}
