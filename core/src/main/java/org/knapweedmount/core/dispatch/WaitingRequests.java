package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The requests that are held after a start or a stall, or wait for other entries. */
final class WaitingRequests {
    private final JobOwnership ownership;
    private final HeldRequests heldRequests;
    private final Drain drain;
    private final DurationModel durations;

    WaitingRequests(JobOwnership ownership, HeldRequests heldRequests, Drain drain, DurationModel durations) {
        this.ownership = ownership;
        this.heldRequests = heldRequests;
        this.drain = drain;
        this.durations = durations;
    }

    /** Returns the jobs of all waiting requests. */
    List<String> all() {
        return matching(waiting -> true);
    }

    /** Returns the jobs whose requests have waited for so long that an answer is of no use. */
    List<String> tooLong(long nowNanos) {
        return matching(waiting -> drain.hasWaitedTooLong(waiting, nowNanos)
                || ExpiryRule.hasWaitedTooLong(waiting, durations.criticalPathMillis(waiting.request()), nowNanos));
    }

    /** Returns the number of tasks of all waiting requests. */
    long taskCount() {
        return ownership.awaitedTaskCount() + heldRequests.taskCount();
    }

    private List<String> matching(Predicate<WaitingRequest> condition) {
        List<String> waiting = new ArrayList<>(ownership.awaited(condition));
        waiting.addAll(heldRequests.matching(condition));
        return waiting;
    }
}
