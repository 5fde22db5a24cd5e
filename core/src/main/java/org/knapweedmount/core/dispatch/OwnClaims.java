package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;

/**
 * The jobs that this entry holds, and which changes each other entry has not been told.
 *
 * <p>Load pattern: each entry probes each other one some times a second and is first told the changes that it does not know.
 * Only the entry that asks is told, so that the messages of one entry grow with the number of entries and not with its square.
 */
final class OwnClaims {
    /** The submission of a job; empty once the job is answered and only its runs are left. */
    private final Map<String, OptionalLong> submittedNanos = new LinkedHashMap<>();

    /** The jobs that were added or removed and the number of the latest change of each, in ascending order. */
    private final Map<String, Long> changes = new LinkedHashMap<>();

    private final Map<Incarnation, Told> told = new HashMap<>();
    private long lastChange;

    /**
     * What an entry has been told.
     *
     * @param lastChange the number of the latest change that it was told
     * @param nanos when it was last told anything, in ns
     */
    private record Told(long lastChange, long nanos) {}

    /** Records the submission of a job, also one that has to wait. */
    void add(String job, long nanos) {
        OptionalLong submission = OptionalLong.of(nanos);
        if (!submission.equals(submittedNanos.put(job, submission))) {
            recordChange(job);
        }
    }

    /** Records that a job is answered and only its runs are left. */
    void markEnding(String job) {
        submittedNanos.replace(job, OptionalLong.empty());
    }

    void remove(String job) {
        if (submittedNanos.remove(job) != null) {
            recordChange(job);
        }
    }

    private void recordChange(String job) {
        lastChange++;
        changes.remove(job);
        if (!told.isEmpty()) {
            changes.put(job, lastChange);
        }
    }

    /** Returns the age of a job's submission, in ms; empty if the job is not held. */
    OptionalLong ageMillis(String job, long nowNanos) {
        OptionalLong submission = submittedNanos.get(job);
        if (submission == null) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                submission.isEmpty()
                        ? JobClaim.ENDING_AGE_MILLIS
                        : TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - submission.getAsLong())));
    }

    /** Returns all jobs that are held, which an entry is told on a new link. */
    JobOwnershipUpdate fullList(Incarnation peer, long nowNanos) {
        recordTold(peer, nowNanos);
        return new JobOwnershipUpdate(claims(submittedNanos.keySet(), nowNanos), List.of());
    }

    /** Forgets what an entry was told, as its link is lost. */
    void unlinked(Incarnation peer) {
        told.remove(peer);
        dropChangesToldToAll();
    }

    /** Returns the changes that a linked entry has not been told; empty if there are none or it was told some just now. */
    Optional<JobOwnershipUpdate> pendingUpdate(Incarnation peer, long nowNanos) {
        Told last = told.get(peer);
        return last == null || nowNanos - last.nanos() < DispatchTimings.MIN_UPDATE_INTERVAL_NANOS
                ? Optional.empty()
                : update(peer, nowNanos);
    }

    /** Returns the changes that a linked entry has not been told; empty if there are none. */
    Optional<JobOwnershipUpdate> update(Incarnation peer, long nowNanos) {
        Told last = told.get(peer);
        if (last == null || last.lastChange() == lastChange) {
            return Optional.empty();
        }
        Set<String> added = new LinkedHashSet<>();
        List<String> ended = new ArrayList<>();
        changes.forEach((job, number) -> {
            if (number > last.lastChange()) {
                (submittedNanos.containsKey(job) ? added : ended).add(job);
            }
        });
        recordTold(peer, nowNanos);
        return Optional.of(new JobOwnershipUpdate(claims(added, nowNanos), ended));
    }

    private void recordTold(Incarnation peer, long nowNanos) {
        told.put(peer, new Told(lastChange, nowNanos));
        dropChangesToldToAll();
    }

    private void dropChangesToldToAll() {
        long toldToAll =
                told.values().stream().mapToLong(Told::lastChange).min().orElse(lastChange);
        for (Iterator<Long> numbers = changes.values().iterator(); numbers.hasNext() && numbers.next() <= toldToAll; ) {
            numbers.remove();
        }
    }

    private List<JobClaim> claims(Collection<String> ids, long nowNanos) {
        List<JobClaim> claims = new ArrayList<>();
        for (String job : ids) {
            ageMillis(job, nowNanos).ifPresent(age -> claims.add(new JobClaim(job, age)));
        }
        return claims;
    }
}
