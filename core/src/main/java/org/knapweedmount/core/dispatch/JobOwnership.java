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
final class JobOwnership {
    private final Map<String, Incarnation> holders = new HashMap<>();
    private final Set<Incarnation> peers = new HashSet<>();
    private final Map<String, JobRequest> waitingRequests = new LinkedHashMap<>();
    private List<String> taken = new ArrayList<>();
    private List<String> ended = new ArrayList<>();
    private long lastUpdateNanos;

    void linked(Incarnation peer) {
        peers.add(peer);
    }

    /** Forgets the jobs of a lost entry; returns the requests that waited for these. */
    List<JobRequest> unlinked(Incarnation peer) {
        peers.remove(peer);
        List<JobRequest> released = new ArrayList<>();
        holders.entrySet().removeIf(held -> {
            boolean heldByPeer = held.getValue().equals(peer);
            if (heldByPeer && waitingRequests.containsKey(held.getKey())) {
                released.add(waitingRequests.remove(held.getKey()));
            }
            return heldByPeer;
        });
        return released;
    }

    Set<Incarnation> peers() {
        return peers;
    }

    /** Takes what another entry tells; returns the requests that waited for jobs that have ended there. */
    List<JobRequest> updateReceived(Incarnation peer, JobOwnershipUpdate jobs) {
        jobs.owned().forEach(job -> holders.put(job, peer));
        List<JobRequest> released = new ArrayList<>();
        for (String job : jobs.ended()) {
            holders.remove(job, peer);
            JobRequest request = waitingRequests.remove(job);
            if (request != null) {
                released.add(request);
            }
        }
        return released;
    }

    Optional<Incarnation> holder(String job) {
        return Optional.ofNullable(holders.get(job));
    }

    /** Keeps a request until no run of an earlier submission of its job is left. */
    void awaitEnd(JobRequest request) {
        waitingRequests.put(request.id(), request);
    }

    /** Returns the request that waits for the end of a job's earlier submission. */
    Optional<JobRequest> removeAwaiting(String job) {
        return Optional.ofNullable(waitingRequests.remove(job));
    }

    /** Forgets requests whose callers no longer wait. */
    List<JobRequest> removeExpired(long nowNanos) {
        List<JobRequest> expired = waitingRequests.values().stream()
                .filter(request -> nowNanos - request.deadlineNanos() > 0)
                .toList();
        expired.forEach(request -> waitingRequests.remove(request.id()));
        return expired;
    }

    void taken(String job) {
        taken.add(job);
    }

    void ended(String job) {
        ended.add(job);
    }

    /** Returns what the other entries have not been told, empty if there is nothing or they were told just before. */
    Optional<JobOwnershipUpdate> pendingUpdate(long nowNanos) {
        boolean nothing = taken.isEmpty() && ended.isEmpty();
        if (nothing || nowNanos - lastUpdateNanos < DispatchTimings.MIN_UPDATE_INTERVAL_NANOS) {
            return Optional.empty();
        }
        lastUpdateNanos = nowNanos;
        JobOwnershipUpdate update = new JobOwnershipUpdate(taken, ended);
        taken = new ArrayList<>();
        ended = new ArrayList<>();
        return Optional.of(update);
    }
}
