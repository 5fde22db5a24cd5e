package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the agents that an entry tells of its queued tasks.
 *
 * <p>Load pattern: many entries and agents, and queues that form and vanish many times a second. Most of them are worked off
 * by the first few agents with free capacity, so only a few are told at first, others each time, and more only while the
 * queue stays. Telling all agents of each queue costs entries and agents the processor time that their jobs need.
 */
final class DemandTargets {
    private static final int FIRST_AGENTS = 8;

    private final Map<String, Episode> episodes = new HashMap<>();
    private int nextAgent;

    /** The time since which tasks of a service have been queued. */
    private record Episode(long sinceNanos, int firstAgent) {}

    /** Returns the agents to be told of queued tasks of a service. */
    List<WorkerView> choose(String service, List<WorkerView> agents, long nowNanos) {
        Episode episode = episodes.computeIfAbsent(service, key -> new Episode(nowNanos, nextAgent));
        int count = Math.min(agents.size(), count(nowNanos - episode.sinceNanos()));
        List<WorkerView> chosen = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            chosen.add(agents.get((episode.firstAgent() + i) % agents.size()));
        }
        return chosen;
    }

    private static int count(long queuedNanos) {
        long doublings = queuedNanos / DispatchTimings.DEMAND_WIDENING_INTERVAL_NANOS;
        return FIRST_AGENTS << Math.min(doublings, Integer.SIZE / 2);
    }

    /** Records that no task of a service is queued. */
    void queueEmptied(String service) {
        if (episodes.remove(service) != null) {
            nextAgent = (nextAgent + FIRST_AGENTS) & Integer.MAX_VALUE;
        }
    }
}
