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
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.OwnershipProbeReply;
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
 * <p>A job that is submitted here is admitted only once each other entry that may run it is known not to hold it: by
 * knowledge of its jobs that is recent enough ({@link PeerKnowledge}), by its answer for this job, which agents pass on if
 * it is cut off, or because no process is linked to it and no agent has runs of it any more.
 *
 * <p>A lost link says nothing about the jobs of the entry at its other end: it holds them until its full list on a new
 * link says otherwise, or until every lease that it can have had must have ended ({@link LostEntries}).
 */
final class JobOwnership {
    /** How many jobs are checked at each message; more, as after a start, are checked at a limited rate. */
    private static final int MAX_JOBS_CHECKED_AT_ONCE = 16;

    private final DispatchOutput output;
    private final OwnClaims claims = new OwnClaims();
    private final Map<String, Set<Incarnation>> holders = new HashMap<>();
    private final Set<Incarnation> peers = new HashSet<>();
    private final Set<Incarnation> awaitedFullLists = new HashSet<>();
    private final LostEntries lostEntries = new LostEntries();
    private final Map<String, WaitingRequest> waitingRequests = new LinkedHashMap<>();
    private final UnconfirmedJobs unconfirmedJobs = new UnconfirmedJobs();
    private final PeerKnowledge knowledge;
    private final RelayedYields relayedYields;
    private long lastCheckNanos;

    /**
     * What an update of another entry leads to.
     *
     * @param freed the jobs that no other entry holds any more
     * @param surrendered the jobs held here that the other entry holds by a newer submission
     */
    record Changes(List<String> freed, List<String> surrendered) {}

    JobOwnership(DispatchOutput output) {
        this.output = output;
        this.knowledge = new PeerKnowledge(output);
        this.relayedYields = new RelayedYields(output, lostEntries);
    }

    void linked(Incarnation peer, long nowNanos) {
        peers.add(peer);
        awaitedFullLists.add(peer);
        lostEntries.linked(peer);
        output.send(peer, claims.fullList(peer, nowNanos));
        require(peer, nowNanos, nowNanos);
    }

    /** Keeps the jobs of an entry whose link is lost: the entry may be alive. */
    void unlinked(Incarnation peer, long nowNanos) {
        lostEntries.reporterLost(peer, nowNanos);
        if (!peers.remove(peer)) {
            return;
        }
        claims.unlinked(peer);
        awaitedFullLists.remove(peer);
        knowledge.unlinked(peer);
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

    /** Records which entries another entry is linked to; returns true if nothing was known of one of them. */
    boolean peersReported(Incarnation peer, Peers linked, long nowNanos) {
        if (!peers.contains(peer)) {
            return false;
        }
        Set<Incarnation> entries =
                linked.entries().stream().map(PeerAddress::incarnation).collect(Collectors.toSet());
        return lostEntries.reportedByPeer(peer, entries, nowNanos);
    }

    /**
     * Records which entries an agent is linked to, and which others have runs there; returns true if nothing was known of
     * one of them or of its runs.
     */
    boolean linkedEntriesReported(Incarnation agent, LinkedEntries linked, long nowNanos) {
        return lostEntries.reportedByAgent(
                agent, Set.copyOf(linked.entries()), Set.copyOf(linked.unlinkedWithRuns()), nowNanos);
    }

    /** Removes a holder of jobs; returns those that no other entry holds any more. */
    private List<String> removeHolder(Incarnation peer, Set<String> ids) {
        List<String> freed = new ArrayList<>();
        for (String job : ids) {
            Set<Incarnation> entries = holders.get(job);
            boolean held = entries != null && entries.remove(peer);
            if (held && entries.isEmpty()) {
                holders.remove(job);
            }
            if (held && !isHeldElsewhere(job)) {
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

    /** Returns whether another entry holds a job, or may hold it as far as is known here. */
    boolean isHeldElsewhere(String job) {
        return holders.containsKey(job) || unconfirmedJobs.contains(job);
    }

    /** Returns the answer to a job; one that another entry may run is not said not to have run. */
    JobResult notRunOnlyIfKnown(String job, JobResult result) {
        return isHeldElsewhere(job) ? JobResult.givenUp(result.reason()) : result;
    }

    /** Returns the other entries that may hold a job, which is not known as it has to be. */
    Set<Incarnation> unconfirmedHolders(String job) {
        return unconfirmedJobs.entries(job);
    }

    /** Returns whether another entry may hold a job that is submitted; what was answered before does not count. */
    boolean mayBeHeldElsewhereAtSubmission(String job, RequiredKnowledge required, long nowNanos) {
        unconfirmedJobs.remove(job);
        return mayBeHeldElsewhere(job, required, nowNanos);
    }

    /** Returns the jobs that other entries may hold and that have not been asked for. */
    List<String> unaskedJobs() {
        return unconfirmedJobs.all().stream()
                .filter(job -> !relayedYields.isAsking(job))
                .toList();
    }

    /** Checks whether the jobs of all other entries are known as required, and returns whether one may hold a job. */
    boolean mayBeHeldElsewhere(String job, RequiredKnowledge required, long nowNanos) {
        Set<Incarnation> unknown = new LinkedHashSet<>(peers);
        unknown.addAll(lostEntries.running(nowNanos));
        unknown.removeIf(entry -> isConfirmed(entry, required, nowNanos));
        unconfirmedJobs.put(job, required, unknown);
        return isHeldElsewhere(job);
    }

    private boolean isConfirmed(Incarnation entry, RequiredKnowledge required, long nowNanos) {
        if (peers.contains(entry)) {
            return knowledge.isKnownAsOf(entry, required.ofLinkedNanos());
        }
        if (lostEntries.isCutOff(entry)) {
            return knowledge.isKnownAsOf(entry, required.ofCutOffNanos());
        }
        return !lostEntries.mayHaveRuns(entry, nowNanos) || knowledge.isKnownAsOf(entry, required.ofEndedNanos());
    }

    /** Returns the jobs that no other entry may hold any more, by what has become known since. */
    List<String> confirmed(long nowNanos) {
        boolean checkedJustNow = nowNanos - lastCheckNanos < DispatchTimings.MIN_CHECK_INTERVAL_NANOS;
        if (checkedJustNow && unconfirmedJobs.size() > MAX_JOBS_CHECKED_AT_ONCE) {
            return List.of();
        }
        lastCheckNanos = nowNanos;
        return unconfirmedJobs.removeConfirmed((entry, required) -> isConfirmed(entry, required, nowNanos)).stream()
                .filter(job -> !isHeldElsewhere(job))
                .toList();
    }

    /** Returns whether the jobs of an entry of a process are known, of whichever incarnation. */
    boolean areJobsKnown(String process) {
        return peers.stream().anyMatch(peer -> peer.process().equals(process) && knowledge.isKnown(peer));
    }

    /** Returns whether an entry is alive that has no link to this one. */
    boolean hasCutOffEntries() {
        return !lostEntries.cutOff().isEmpty();
    }

    /** Holds back a request until no run of an earlier submission of its job is left, and asks for its end. */
    void awaitEnd(WaitingRequest waiting, long nowNanos) {
        String job = waiting.request().id();
        waitingRequests.put(job, waiting);
        claims.add(job, waiting.submittedNanos());
        holders(job).forEach(holder -> output.send(holder, new YieldJob(job)));
        ask(job, waiting.required(), nowNanos);
    }

    /** Asks the entries that may hold a job: the linked ones for their present jobs, the others by way of agents. */
    void ask(String job, RequiredKnowledge required, long nowNanos) {
        unconfirmedHolders(job).stream()
                .filter(peers::contains)
                .forEach(peer -> require(peer, required.ofLinkedNanos(), nowNanos));
        relayedYields.begin(job);
        askUnlinkedHolders(nowNanos);
    }

    /** Asks the entries without a link for all jobs that they may hold, each at a limited rate. */
    private void askUnlinkedHolders(long nowNanos) {
        Map<Incarnation, Set<String>> jobs = new LinkedHashMap<>();
        Set<String> unanswered = new LinkedHashSet<>(waitingRequests.keySet());
        unanswered.addAll(unconfirmedJobs.all());
        unanswered.stream()
                .filter(relayedYields::isAsking)
                .forEach(job -> unlinkedHolders(job)
                        .forEach(holder -> jobs.computeIfAbsent(holder, key -> new LinkedHashSet<>())
                                .add(job)));
        relayedYields.ask(jobs, nowNanos);
    }

    /** Requires that the jobs of a linked entry become known as of a time, and probes it if that is due. */
    private void require(Incarnation peer, long asOfNanos, long nowNanos) {
        knowledge.require(peer, asOfNanos);
        probeIfDue(peer, nowNanos);
    }

    private void probeIfDue(Incarnation peer, long nowNanos) {
        if (knowledge.isProbeDue(peer, nowNanos)) {
            // An entry that has answered the probe knows from then on which jobs are held here.
            sendChanges(peer, nowNanos);
            knowledge.probe(peer, nowNanos);
        }
    }

    private Set<Incarnation> unlinkedHolders(String job) {
        Set<Incarnation> unlinked = new LinkedHashSet<>(holders(job));
        unlinked.addAll(unconfirmedHolders(job));
        unlinked.removeAll(peers);
        return unlinked;
    }

    /** Answers a probe of another entry, after all jobs that are held here now. */
    void probeReceived(Incarnation peer, OwnershipProbe probe, long nowNanos) {
        sendChanges(peer, nowNanos);
        output.send(peer, new OwnershipProbeReply(probe.number()));
    }

    /** Records that the jobs of another entry are known as of the time of a probe. */
    void probeAnswered(Incarnation peer, OwnershipProbeReply reply, long nowNanos) {
        if (peers.contains(peer)) {
            knowledge.probeAnswered(peer, reply.number(), !awaitedFullLists.contains(peer));
            probeIfDue(peer, nowNanos);
        }
    }

    /** Asks all linked entries for their present jobs, as this entry has held up requests or its clock stood still. */
    void stallEnded(StallDetector.Stall stall, long nowNanos) {
        if (stall.lostNanos() > 0) {
            knowledge.clockLost();
        }
        requireAll(nowNanos, nowNanos);
    }

    /** Records that a request is held here, and asks for what has to be known before it can be admitted. */
    void requestHeld(WaitingRequest request, long nowNanos) {
        held(request.request().id(), request.submittedNanos());
        requireAll(request.required().ofLinkedNanos(), nowNanos);
    }

    private void requireAll(long asOfNanos, long nowNanos) {
        peers.forEach(peer -> require(peer, asOfNanos, nowNanos));
    }

    /** Applies the answer of an entry without a link; returns the jobs that no other entry holds any more. */
    List<String> relayedEndReceived(RelayedEnd end) {
        List<String> freed = new ArrayList<>();
        for (String job : relayedYields.currentJobs(end)) {
            boolean denied = unconfirmedJobs.deny(job, end.peer());
            boolean released = !removeHolder(end.peer(), Set.of(job)).isEmpty();
            if (released || (denied && !isHeldElsewhere(job))) {
                freed.add(job);
            }
        }
        return freed;
    }

    /** Removes and returns the request that waits for the end of a job's earlier submission. */
    Optional<WaitingRequest> removeAwaiting(String job) {
        relayedYields.end(job);
        return Optional.ofNullable(waitingRequests.remove(job));
    }

    /** Returns the jobs whose requests wait and meet a condition. */
    List<String> awaited(Predicate<WaitingRequest> condition) {
        return waitingRequests.values().stream()
                .filter(condition)
                .map(waiting -> waiting.request().id())
                .toList();
    }

    /** Returns the number of tasks of the jobs whose requests wait. */
    long awaitedTaskCount() {
        return waitingRequests.values().stream()
                .mapToLong(waiting -> waiting.request().taskCount())
                .sum();
    }

    /** Records that a job is held here. */
    void held(String job, long submittedNanos) {
        claims.add(job, submittedNanos);
    }

    /** Records that a job is answered and only its runs are left. */
    void ending(String job) {
        claims.markEnding(job);
    }

    /** Records that it no longer matters which other entries may hold a job. */
    void confirmationEnded(String job) {
        if (!waitingRequests.containsKey(job)) {
            relayedYields.end(job);
            unconfirmedJobs.remove(job);
        }
    }

    /** Records that no run of a job is left here; a request that waits for this holds the job from then on. */
    void ended(String job) {
        if (!waitingRequests.containsKey(job)) {
            claims.remove(job);
        }
    }

    /** Tells an entry that a job is not held here. */
    void denyHolding(Incarnation peer, String job) {
        output.send(peer, new JobOwnershipUpdate(List.of(), List.of(job)));
    }

    /** Sends each linked entry the changes that it has not been told, and repeats requests to unlinked entries. */
    void sendUpdates(long nowNanos) {
        askUnlinkedHolders(nowNanos);
        peers.forEach(peer -> claims.pendingUpdate(peer, nowNanos).ifPresent(update -> output.send(peer, update)));
        requireAll(nowNanos - DispatchTimings.PROBE_INTERVAL_NANOS, nowNanos);
    }

    private void sendChanges(Incarnation peer, long nowNanos) {
        claims.update(peer, nowNanos).ifPresent(update -> output.send(peer, update));
    }
}
