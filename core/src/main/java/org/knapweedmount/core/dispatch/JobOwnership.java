package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.YieldJob;

/**
 * Tracks which entries hold which jobs, so that a resubmitted job does not run twice at the same time.
 *
 * <p>Entries exchange batched updates of which jobs they hold, including those that wait for another entry, and which
 * have ended. No run of a job is ordered while another entry holds it. Of two entries with one job the one with the
 * older submission gives it up.
 *
 * <p>A lost link says nothing about the jobs of the entry at its other end: it holds them until its full list on a new
 * link says otherwise, or until every lease that it can have had must have ended ({@link LostEntries}). An entry that is
 * cut off but alive is asked by way of agents for each job that is submitted here meanwhile.
 */
final class JobOwnership {
    private final DispatchOutput output;
    private final OwnClaims claims = new OwnClaims();
    private final Map<String, Set<Incarnation>> holders = new HashMap<>();
    private final Set<Incarnation> peers = new HashSet<>();
    private final Set<Incarnation> peersWithoutFullList = new LinkedHashSet<>();
    private final Set<Incarnation> awaitedFullLists = new HashSet<>();
    private final LostEntries lostEntries = new LostEntries();
    private final Map<String, WaitingRequest> waitingRequests = new LinkedHashMap<>();
    private final RelayedYields relayedYields;

    /**
     * What an update of another entry leads to.
     *
     * @param freed the jobs that no other entry holds any more
     * @param surrendered the jobs held here that the other entry holds by a newer submission
     */
    record Changes(List<String> freed, List<String> surrendered) {}

    JobOwnership(DispatchOutput output) {
        this.output = output;
        this.relayedYields = new RelayedYields(output, lostEntries);
    }

    void linked(Incarnation peer) {
        peers.add(peer);
        peersWithoutFullList.add(peer);
        awaitedFullLists.add(peer);
        lostEntries.linked(peer);
    }

    /** Keeps the jobs of an entry whose link is lost: the entry may be alive. */
    void unlinked(Incarnation peer, long nowNanos) {
        lostEntries.reporterLost(peer, nowNanos);
        if (!peers.remove(peer)) {
            return;
        }
        peersWithoutFullList.remove(peer);
        awaitedFullLists.remove(peer);
        lostEntries.lost(peer, nowNanos);
        Set<String> held = heldBy(peer);
        if (!held.isEmpty()) {
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
        lostEntries.removeEnded(nowNanos).forEach((entry, nanos) -> {
            Set<String> held = heldBy(entry);
            output.logEvent(
                    "jobs-released",
                    "entry=" + entry + " reason=leases-ended jobs=" + held.size() + " waiting=" + waiting(held)
                            + " millis=" + TimeUnit.NANOSECONDS.toMillis(nanos));
            freed.addAll(removeHolder(entry, held));
        });
        return freed;
    }

    /** Records which entries another entry is linked to. */
    void peersReported(Incarnation peer, Peers linked, long nowNanos) {
        if (peers.contains(peer)) {
            Set<Incarnation> entries =
                    linked.entries().stream().map(PeerAddress::incarnation).collect(Collectors.toSet());
            lostEntries.reportedByPeer(peer, entries, nowNanos);
        }
    }

    /** Records which entries an agent is linked to. */
    void linkedEntriesReported(Incarnation agent, LinkedEntries linked, long nowNanos) {
        lostEntries.reportedByAgent(agent, Set.copyOf(linked.entries()), nowNanos);
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

    /** Applies the update of another entry. */
    Changes updateReceived(Incarnation peer, JobOwnershipUpdate update, long nowNanos) {
        if (!peers.contains(peer)) {
            return new Changes(List.of(), List.of());
        }
        Set<String> endedThere = new LinkedHashSet<>(update.ended());
        if (awaitedFullLists.remove(peer)) {
            Set<String> dropped = heldBy(peer);
            update.owned().forEach(claim -> dropped.remove(claim.job()));
            if (!dropped.isEmpty()) {
                output.logEvent(
                        "jobs-released",
                        "entry=" + peer + " reason=full-list jobs=" + dropped.size() + " waiting=" + waiting(dropped));
            }
            endedThere.addAll(dropped);
        }
        List<String> surrendered = new ArrayList<>();
        for (JobClaim claim : update.owned()) {
            holders.computeIfAbsent(claim.job(), key -> new LinkedHashSet<>()).add(peer);
            if (isNewer(claim, peer, nowNanos)) {
                surrendered.add(claim.job());
            }
        }
        return new Changes(removeHolder(peer, endedThere), surrendered);
    }

    /** Returns whether another entry has a newer submission of a job held here; asks it to stop an older one. */
    private boolean isNewer(JobClaim claim, Incarnation peer, long nowNanos) {
        OptionalLong ownMillis = claims.ageMillis(claim.job(), nowNanos);
        if (ownMillis.isEmpty()) {
            return false;
        }
        boolean newer = claim.ageMillis() <= ownMillis.getAsLong();
        output.logEvent(
                "job-also-held",
                "job=" + claim.job() + " entry=" + peer + " millis=" + claim.ageMillis() + " own-millis="
                        + ownMillis.getAsLong() + " stays=" + (newer ? "there" : "here") + " waiting="
                        + waitingRequests.containsKey(claim.job()));
        if (!newer) {
            output.send(peer, new YieldJob(claim.job()));
        }
        return newer;
    }

    /** Returns the other entries that hold a job. */
    Set<Incarnation> holders(String job) {
        return Set.copyOf(holders.getOrDefault(job, Set.of()));
    }

    boolean isHeldElsewhere(String job) {
        return holders.containsKey(job);
    }

    /**
     * Returns whether a job that is submitted now may be held elsewhere. An entry that is cut off from this one but alive,
     * or that has not sent its full list on a new link, counts as its holder until it says otherwise, as it may have
     * admitted the job since.
     */
    boolean mayBeHeldElsewhere(String job, long nowNanos) {
        Set<Incarnation> unknown = new LinkedHashSet<>(lostEntries.cutOff(nowNanos));
        unknown.addAll(awaitedFullLists);
        if (!unknown.isEmpty()) {
            holders.computeIfAbsent(job, key -> new LinkedHashSet<>()).addAll(unknown);
        }
        return isHeldElsewhere(job);
    }

    /** Returns whether an entry is alive that has no link to this one. */
    boolean hasCutOffEntries(long nowNanos) {
        return !lostEntries.cutOff(nowNanos).isEmpty();
    }

    /** Holds back a request until no run of an earlier submission of its job is left, and asks for its end. */
    void awaitEnd(WaitingRequest waiting, long nowNanos) {
        String job = waiting.request().id();
        waitingRequests.put(job, waiting);
        claims.add(job, waiting.submittedNanos());
        holders(job).forEach(holder -> output.send(holder, new YieldJob(job)));
        relayedYields.begin(job, unlinkedHolders(job), nowNanos);
    }

    private Set<Incarnation> unlinkedHolders(String job) {
        Set<Incarnation> unlinked = new LinkedHashSet<>(holders(job));
        unlinked.removeAll(peers);
        return unlinked;
    }

    /** Applies the answer of an entry without a link; returns true if no other entry holds the job any more. */
    boolean relayedEndReceived(RelayedEnd end) {
        return relayedYields.isCurrent(end)
                && !removeHolder(end.peer(), Set.of(end.job())).isEmpty();
    }

    /** Removes and returns the request that waits for the end of a job's earlier submission. */
    Optional<WaitingRequest> removeAwaiting(String job) {
        relayedYields.end(job);
        return Optional.ofNullable(waitingRequests.remove(job));
    }

    /** Returns the jobs for whose end a request waits. */
    List<String> awaited() {
        return List.copyOf(waitingRequests.keySet());
    }

    /** Returns the requests whose callers no longer wait. */
    List<String> expired(long nowNanos) {
        return waitingRequests.values().stream()
                .filter(waiting -> nowNanos - waiting.request().deadlineNanos() > 0)
                .map(waiting -> waiting.request().id())
                .toList();
    }

    /** Records that a job is held here. */
    void held(String job, long submittedNanos) {
        claims.add(job, submittedNanos);
    }

    /** Records that a job is answered and only its runs are left. */
    void ending(String job) {
        claims.markEnding(job);
    }

    /** Records that no run of a job is left here; a request that waits for this holds the job from then on. */
    void ended(String job) {
        if (!waitingRequests.containsKey(job)) {
            claims.remove(job);
        }
    }

    /** Tells an entry that a job is not held here. */
    void denyHolding(Incarnation peer, String job, long nowNanos) {
        sendFullList(peer, nowNanos);
        output.send(peer, new JobOwnershipUpdate(List.of(), List.of(job)));
    }

    /** Sends the full list on new links and the changes on all others, and repeats requests to unlinked entries. */
    void sendUpdates(long nowNanos) {
        waitingRequests.keySet().forEach(job -> relayedYields.repeat(job, unlinkedHolders(job), nowNanos));
        List.copyOf(peersWithoutFullList).forEach(peer -> sendFullList(peer, nowNanos));
        claims.pendingUpdate(nowNanos).ifPresent(update -> peers.forEach(peer -> output.send(peer, update)));
    }

    private void sendFullList(Incarnation peer, long nowNanos) {
        if (peersWithoutFullList.remove(peer)) {
            output.send(peer, claims.fullList(nowNanos));
        }
    }
}
