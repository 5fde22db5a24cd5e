package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.JobOwnershipUpdate;

/**
 * Which entry holds which job, so that a job that its caller sends again does not run twice at a time.
 *
 * <p>Entries tell each other in small batches what they take and what has ended. Jobs of an entry that is lost are
 * forgotten: by the time that their callers send them again, the leases of its runs have ended.
 */
final class HeldJobs {
    private final Map<String, Incarnation> elsewhere = new HashMap<>();
    private final Set<Incarnation> peers = new HashSet<>();
    private final Map<String, JobRequest> waiting = new LinkedHashMap<>();
    private List<String> taken = new ArrayList<>();
    private List<String> ended = new ArrayList<>();
    private long toldNanos;

    void linked(Incarnation peer) {
        peers.add(peer);
    }

    /** Forgets the jobs of a lost entry; returns the requests that waited for these. */
    List<JobRequest> unlinked(Incarnation peer) {
        peers.remove(peer);
        List<JobRequest> freed = new ArrayList<>();
        elsewhere.entrySet().removeIf(held -> {
            boolean gone = held.getValue().equals(peer);
            if (gone && waiting.containsKey(held.getKey())) {
                freed.add(waiting.remove(held.getKey()));
            }
            return gone;
        });
        return freed;
    }

    Set<Incarnation> peers() {
        return peers;
    }

    /** Takes what another entry tells; returns the requests that waited for jobs that have ended there. */
    List<JobRequest> told(Incarnation peer, JobOwnershipUpdate jobs) {
        jobs.owned().forEach(job -> elsewhere.put(job, peer));
        List<JobRequest> freed = new ArrayList<>();
        for (String job : jobs.ended()) {
            elsewhere.remove(job, peer);
            JobRequest request = waiting.remove(job);
            if (request != null) {
                freed.add(request);
            }
        }
        return freed;
    }

    Optional<Incarnation> holder(String job) {
        return Optional.ofNullable(elsewhere.get(job));
    }

    /** Keeps a request until no run of an earlier submission of its job is left. */
    void await(JobRequest request) {
        waiting.put(request.id(), request);
    }

    /** Returns the request that waits for the end of a job's earlier submission. */
    Optional<JobRequest> awaited(String job) {
        return Optional.ofNullable(waiting.remove(job));
    }

    /** Forgets requests whose callers no longer wait. */
    List<JobRequest> expired(long nowNanos) {
        List<JobRequest> late = waiting.values().stream()
                .filter(request -> nowNanos - request.deadlineNanos() > 0)
                .toList();
        late.forEach(request -> waiting.remove(request.id()));
        return late;
    }

    void taken(String job) {
        taken.add(job);
    }

    void ended(String job) {
        ended.add(job);
    }

    /** Returns what the other entries have not been told, empty if there is nothing or they were told just before. */
    Optional<JobOwnershipUpdate> news(long nowNanos) {
        boolean nothing = taken.isEmpty() && ended.isEmpty();
        if (nothing || nowNanos - toldNanos < DispatchTimes.NEWS_NANOS) {
            return Optional.empty();
        }
        toldNanos = nowNanos;
        JobOwnershipUpdate news = new JobOwnershipUpdate(taken, ended);
        taken = new ArrayList<>();
        ended = new ArrayList<>();
        return Optional.of(news);
    }
}
