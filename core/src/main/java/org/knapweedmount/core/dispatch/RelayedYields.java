package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RelayedYield;

/**
 * Requests to entries without a link to stop jobs, by way of agents that are linked to them.
 *
 * <p>Each may be lost, late or doubled on its way: requests are repeated until they are answered, and an answer counts
 * for a job only if the request was sent after it was decided to ask for the job.
 *
 * <p>Load pattern: many requests wait for one entry, just after a start or the loss of its link. One message asks for all of
 * their jobs, and its rate is limited, so that the messages grow with the entries that are asked and not with the jobs.
 */
final class RelayedYields {
    /** How many agents pass on one request. */
    private static final int MAX_RELAYS = 2;

    private final DispatchOutput output;
    private final LostEntries lostEntries;
    private final Map<String, Long> firstNumbers = new HashMap<>();
    private final Map<Incarnation, Asked> askedEntries = new HashMap<>();
    private long lastNumber;

    /** What an entry has been asked: when at last, and when for each job, in ns. */
    private static final class Asked {
        private final Map<String, Long> jobNanos = new HashMap<>();
        private long lastNanos;

        /** Returns the jobs that it has not been asked for at all or for a while. */
        private List<String> due(Set<String> jobs, long nowNanos) {
            List<String> due = new ArrayList<>();
            for (String job : jobs) {
                Long nanos = jobNanos.get(job);
                if (nanos == null || nowNanos - nanos >= DispatchTimings.YIELD_REPEAT_INTERVAL_NANOS) {
                    due.add(job);
                }
            }
            return due;
        }
    }

    RelayedYields(DispatchOutput output, LostEntries lostEntries) {
        this.output = output;
        this.lostEntries = lostEntries;
    }

    /** Records that a job is to be asked for from now on, again if it was before. */
    void begin(String job) {
        firstNumbers.put(job, lastNumber + 1);
        askedEntries.values().forEach(asked -> asked.jobNanos.remove(job));
    }

    /**
     * Asks entries for the jobs that they may hold, unless they were asked a moment ago.
     *
     * @param jobsByHolder the jobs that are asked for, by the entry that may hold them
     */
    void ask(Map<Incarnation, Set<String>> jobsByHolder, long nowNanos) {
        askedEntries.keySet().retainAll(jobsByHolder.keySet());
        jobsByHolder.forEach((holder, jobs) -> {
            Asked asked = askedEntries.get(holder);
            boolean recent = asked != null && nowNanos - asked.lastNanos < DispatchTimings.YIELD_INTERVAL_NANOS;
            if (!recent) {
                ask(holder, jobs, nowNanos);
            }
        });
    }

    private void ask(Incarnation holder, Set<String> jobs, long nowNanos) {
        Asked asked = askedEntries.computeIfAbsent(holder, key -> new Asked());
        asked.jobNanos.keySet().retainAll(jobs);
        List<String> due = asked.due(jobs, nowNanos);
        if (due.isEmpty()) {
            return;
        }
        asked.lastNanos = nowNanos;
        due.forEach(job -> asked.jobNanos.put(job, nowNanos));
        lastNumber++;
        RelayedYield request = new RelayedYield(holder, due, lastNumber);
        lostEntries.agentsLinkedTo(holder, MAX_RELAYS).forEach(agent -> output.send(agent, request));
    }

    /** Returns whether the holders of a job are asked for it. */
    boolean isAsking(String job) {
        return firstNumbers.containsKey(job);
    }

    /** Returns the jobs for which an answer counts: they have been asked for since before its request was sent. */
    Set<String> currentJobs(RelayedEnd end) {
        Set<String> current = new HashSet<>();
        for (String job : end.jobs()) {
            Long first = firstNumbers.get(job);
            if (first != null && end.number() >= first) {
                current.add(job);
            }
        }
        return current;
    }

    /** Asks for a job no more. */
    void end(String job) {
        firstNumbers.remove(job);
    }
}
