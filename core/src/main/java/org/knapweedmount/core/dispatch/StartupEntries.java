package org.knapweedmount.core.dispatch;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The other entries whose jobs an entry has to know before it admits any after its start, because they or an earlier
 * incarnation of this one may run them.
 *
 * <p>They are known once the platform's store or another entry has listed them. The wait ends when the jobs of each are
 * known, or when the runs of all that had ended before the start must have ended as well; one that is alive is reported
 * by the agents from then on.
 */
public final class StartupEntries {
    private final Predicate<String> areJobsKnown;
    private OptionalLong startNanos = OptionalLong.empty();
    private Optional<Set<String>> processes = Optional.empty();
    private Runnable ended = () -> {};

    /**
     * Creates an object for an entry that has not started.
     *
     * @param areJobsKnown returns whether the jobs are known of an entry that is named by its process
     */
    StartupEntries(Predicate<String> areJobsKnown) {
        this.areJobsKnown = areJobsKnown;
    }

    /**
     * Begins to wait.
     *
     * @param nowNanos the current time, in ns
     */
    public void started(long nowNanos) {
        startNanos = OptionalLong.of(nowNanos);
    }

    /**
     * Adds other entries that the platform's store has listed.
     *
     * @param names the names of their processes
     */
    public void listed(Collection<String> names) {
        if (startNanos.isPresent()) {
            Set<String> known = new HashSet<>(processes.orElse(Set.of()));
            known.addAll(names);
            processes = Optional.of(known);
        }
    }

    /**
     * Adds other entries that an entry has listed. One that lists none may have just started itself, and knows nothing.
     *
     * @param names the names of their processes
     */
    void listedByPeer(Collection<String> names) {
        if (!names.isEmpty()) {
            listed(names);
        }
    }

    /**
     * Returns whether the jobs of other entries have to be awaited.
     *
     * @param nowNanos the current time, in ns
     * @return true if no request may be admitted
     */
    public boolean isAwaiting(long nowNanos) {
        if (startNanos.isEmpty()) {
            return false;
        }
        boolean leasesEnded = nowNanos - startNanos.getAsLong() > DispatchTimings.LOST_ENTRY_NANOS;
        boolean allKnown = processes.isPresent() && processes.get().stream().allMatch(areJobsKnown);
        if (leasesEnded || allKnown) {
            startNanos = OptionalLong.empty();
            ended.run();
        }
        return startNanos.isPresent();
    }

    /**
     * Returns whether the wait has begun and has not been found to have ended.
     *
     * @return true if no request has been admitted since the start
     */
    public boolean hasNotEnded() {
        return startNanos.isPresent();
    }

    /**
     * Sets what is run when the wait ends, before the first request is admitted.
     *
     * @param listener called once a start
     */
    public void onEnd(Runnable listener) {
        ended = listener;
    }
}
