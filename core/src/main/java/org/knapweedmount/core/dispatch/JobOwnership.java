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
 * Tracks which entry owns which job, so that a resubmitted job does not run twice at the same time.
 *
 * <p>Entries exchange batched updates of which jobs they own and which have ended. The jobs of a lost entry are
 * dropped: by the time their callers resubmit them, the leases of their runs have expired.
 */
final class JobOwnership {
    private final Map<String, Incarnation> owners = new HashMap<>();
    private final Set<Incarnation> peers = new HashSet<>();
    private final Map<String, JobRequest> waitingRequests = new LinkedHashMap<>();
    private List<String> added = new ArrayList<>();
    private List<String> ended = new ArrayList<>();
    private long lastUpdateNanos;

    void linked(Incarnation peer) {
        peers.add(peer);
    }

    /** Drops the jobs of a lost entry; returns the requests that were waiting for them. */
    List<JobRequest> unlinked(Incarnation peer) {
        peers.remove(peer);
        List<JobRequest> released = new ArrayList<>();
        owners.entrySet().removeIf(entry -> {
            boolean ownedByPeer = entry.getValue().equals(peer);
            if (ownedByPeer && waitingRequests.containsKey(entry.getKey())) {
                released.add(waitingRequests.remove(entry.getKey()));
            }
            return ownedByPeer;
        });
        return released;
    }

    Set<Incarnation> peers() {
        return peers;
    }

    /** Applies the update of another entry; returns the requests that were waiting for jobs that have ended there. */
    List<JobRequest> updateReceived(Incarnation peer, JobOwnershipUpdate update) {
        update.owned().forEach(job -> owners.put(job, peer));
        List<JobRequest> released = new ArrayList<>();
        for (String job : update.ended()) {
            owners.remove(job, peer);
            JobRequest request = waitingRequests.remove(job);
            if (request != null) {
                released.add(request);
            }
        }
        return released;
    }

    Optional<Incarnation> owner(String job) {
        return Optional.ofNullable(owners.get(job));
    }

    /** Holds back a request until no run of an earlier submission of its job is left. */
    void awaitEnd(JobRequest request) {
        waitingRequests.put(request.id(), request);
    }

    /** Removes and returns the request that waits for the end of a job's earlier submission. */
    Optional<JobRequest> removeAwaiting(String job) {
        return Optional.ofNullable(waitingRequests.remove(job));
    }

    /** Removes and returns the requests whose callers no longer wait. */
    List<JobRequest> removeExpired(long nowNanos) {
        List<JobRequest> expired = waitingRequests.values().stream()
                .filter(request -> nowNanos - request.deadlineNanos() > 0)
                .toList();
        expired.forEach(request -> waitingRequests.remove(request.id()));
        return expired;
    }

    void added(String job) {
        added.add(job);
    }

    void ended(String job) {
        ended.add(job);
    }

    /** Returns the changes since the last update; empty if there are none or the minimum interval has not passed. */
    Optional<JobOwnershipUpdate> pendingUpdate(long nowNanos) {
        boolean nothing = added.isEmpty() && ended.isEmpty();
        if (nothing || nowNanos - lastUpdateNanos < DispatchTimings.MIN_UPDATE_INTERVAL_NANOS) {
            return Optional.empty();
        }
        lastUpdateNanos = nowNanos;
        JobOwnershipUpdate update = new JobOwnershipUpdate(added, ended);
        added = new ArrayList<>();
        ended = new ArrayList<>();
        return Optional.of(update);
    }
}
