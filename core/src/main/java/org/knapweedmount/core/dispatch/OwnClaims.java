package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;

/** The jobs that this entry holds and the changes that other entries have not been told. */
final class OwnClaims {
    /** The submission of a job; empty once the job is answered and only its runs are left. */
    private final Map<String, OptionalLong> submittedNanos = new LinkedHashMap<>();

    private Set<String> added = new LinkedHashSet<>();
    private Set<String> ended = new LinkedHashSet<>();
    private long lastUpdateNanos;

    /** Records the submission of a job, also one that has to wait. */
    void add(String job, long nanos) {
        OptionalLong submission = OptionalLong.of(nanos);
        if (!submission.equals(submittedNanos.put(job, submission))) {
            ended.remove(job);
            added.add(job);
        }
    }

    /** Records that a job is answered and only its runs are left. */
    void markEnding(String job) {
        submittedNanos.replace(job, OptionalLong.empty());
    }

    void remove(String job) {
        if (submittedNanos.remove(job) != null) {
            added.remove(job);
            ended.add(job);
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

    /** Returns all jobs that are held. */
    JobOwnershipUpdate fullList(long nowNanos) {
        return new JobOwnershipUpdate(claims(submittedNanos.keySet(), nowNanos), List.of());
    }

    /** Returns the changes since the last update; empty if there are none or the minimum interval has not passed. */
    Optional<JobOwnershipUpdate> pendingUpdate(long nowNanos) {
        return nowNanos - lastUpdateNanos < DispatchTimings.MIN_UPDATE_INTERVAL_NANOS
                ? Optional.empty()
                : update(nowNanos);
    }

    /** Returns the changes since the last update; empty if there are none. */
    Optional<JobOwnershipUpdate> update(long nowNanos) {
        if (added.isEmpty() && ended.isEmpty()) {
            return Optional.empty();
        }
        lastUpdateNanos = nowNanos;
        JobOwnershipUpdate update = new JobOwnershipUpdate(claims(added, nowNanos), List.copyOf(ended));
        added = new LinkedHashSet<>();
        ended = new LinkedHashSet<>();
        return Optional.of(update);
    }

    private List<JobClaim> claims(Set<String> ids, long nowNanos) {
        List<JobClaim> claims = new ArrayList<>();
        for (String job : ids) {
            ageMillis(job, nowNanos).ifPresent(age -> claims.add(new JobClaim(job, age)));
        }
        return claims;
    }
}
