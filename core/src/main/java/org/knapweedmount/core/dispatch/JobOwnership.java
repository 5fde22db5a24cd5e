package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.JobOwnershipUpdate;

/**
 * Tracks which entries hold which jobs, so that a resubmitted job does not run twice at the same time.
 *
 * <p>Entries exchange batched updates of which jobs they hold and which have ended. A lost link says nothing about the
 * jobs of the entry at its other end: it holds them until its full list on a new link says otherwise, or until every
 * lease that it can have had must have ended ({@link DispatchTimings#LOST_ENTRY_NANOS}).
 */
final class JobOwnership {
    private final DispatchOutput output;
    private final Map<String, Set<Incarnation>> holders = new HashMap<>();
    private final Set<Incarnation> peers = new HashSet<>();
    private final Set<Incarnation> awaitedFullLists = new HashSet<>();
    private final Map<Incarnation, Long> lostNanos = new LinkedHashMap<>();
    private final Map<String, JobRequest> waitingRequests = new LinkedHashMap<>();
    private Set<String> added = new LinkedHashSet<>();
    private Set<String> ended = new LinkedHashSet<>();
    private long lastUpdateNanos;

    JobOwnership(DispatchOutput output) {
        this.output = output;
    }

    void linked(Incarnation peer) {
        peers.add(peer);
        awaitedFullLists.add(peer);
        lostNanos.remove(peer);
    }

    /** Keeps the jobs of an entry whose link is lost: the entry may be alive. */
    void unlinked(Incarnation peer, long nowNanos) {
        if (!peers.remove(peer)) {
            return;
        }
        awaitedFullLists.remove(peer);
        Set<String> held = heldBy(peer);
        if (!held.isEmpty()) {
            lostNanos.put(peer, nowNanos);
            output.logEvent("jobs-kept", "entry=" + peer + " jobs=" + held.size() + " waiting=" + waiting(held));
        }
    }

    private Set<String> heldBy(Incarnation peer) {
        Set<String> held = new LinkedHashSet<>();
        holders.forEach((job, entries) -> {
            if (entries.contains(peer)) {
                held.add(job);
            }
        });
        return held;
    }

    private long waiting(Set<String> ids) {
        return ids.stream().filter(waitingRequests::containsKey).count();
    }

    /** Drops the jobs of lost entries whose runs must have ended; returns those that no other entry holds any more. */
    List<String> releaseLost(long nowNanos) {
        List<String> freed = new ArrayList<>();
        for (Map.Entry<Incarnation, Long> lost : List.copyOf(lostNanos.entrySet())) {
            if (nowNanos - lost.getValue() <= DispatchTimings.LOST_ENTRY_NANOS) {
                continue;
            }
            lostNanos.remove(lost.getKey());
            Set<String> held = heldBy(lost.getKey());
            output.logEvent(
                    "jobs-released",
                    "entry=" + lost.getKey() + " reason=leases-ended jobs=" + held.size() + " waiting=" + waiting(held)
                            + " millis=" + (nowNanos - lost.getValue()) / 1_000_000);
            freed.addAll(removeHolder(lost.getKey(), held));
        }
        return freed;
    }

    /** Removes a holder of jobs; returns those that no other entry holds any more. */
    private List<String> removeHolder(Incarnation peer, Set<String> ids) {
        List<String> freed = new ArrayList<>();
        for (String job : ids) {
            Set<Incarnation> entries = holders.get(job);
            if (entries != null && entries.remove(peer) && entries.isEmpty()) {
                holders.remove(job);
                freed.add(job);
            }
        }
        return freed;
    }

    Set<Incarnation> peers() {
        return peers;
    }

    /** Applies the update of another entry; returns the jobs that no other entry holds any more. */
    List<String> updateReceived(Incarnation peer, JobOwnershipUpdate update) {
        if (!peers.contains(peer)) {
            return List.of();
        }
        Set<String> endedThere = new LinkedHashSet<>(update.ended());
        if (awaitedFullLists.remove(peer)) {
            Set<String> dropped = heldBy(peer);
            update.owned().forEach(dropped::remove);
            if (!dropped.isEmpty()) {
                output.logEvent(
                        "jobs-released",
                        "entry=" + peer + " reason=full-list jobs=" + dropped.size() + " waiting=" + waiting(dropped));
            }
            endedThere.addAll(dropped);
        }
        update.owned()
                .forEach(job -> holders.computeIfAbsent(job, key -> new LinkedHashSet<>())
                        .add(peer));
        return removeHolder(peer, endedThere);
    }

    /** Returns the other entries that hold a job. */
    Set<Incarnation> holders(String job) {
        return Set.copyOf(holders.getOrDefault(job, Set.of()));
    }

    boolean isHeldElsewhere(String job) {
        return holders.containsKey(job);
    }

    /** Holds back a request until no run of an earlier submission of its job is left. */
    void awaitEnd(JobRequest request) {
        waitingRequests.put(request.id(), request);
    }

    /** Returns whether a request waits for the end of a job's earlier submission. */
    boolean isAwaited(String job) {
        return waitingRequests.containsKey(job);
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
        ended.remove(job);
        added.add(job);
    }

    void ended(String job) {
        added.remove(job);
        ended.add(job);
    }

    /** Returns the changes since the last update; empty if there are none or the minimum interval has not passed. */
    Optional<JobOwnershipUpdate> pendingUpdate(long nowNanos) {
        boolean nothing = added.isEmpty() && ended.isEmpty();
        if (nothing || nowNanos - lastUpdateNanos < DispatchTimings.MIN_UPDATE_INTERVAL_NANOS) {
            return Optional.empty();
        }
        lastUpdateNanos = nowNanos;
        JobOwnershipUpdate update = new JobOwnershipUpdate(List.copyOf(added), List.copyOf(ended));
        added = new LinkedHashSet<>();
        ended = new LinkedHashSet<>();
        return Optional.of(update);
    }
}
