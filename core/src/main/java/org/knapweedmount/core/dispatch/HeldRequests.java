package org.knapweedmount.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * The requests that were read right after a start or a stall.
 *
 * <p>The callers of those that were read after a stall may have closed the connections meanwhile and submitted the jobs
 * elsewhere; the end of a connection is read after the request.
 */
final class HeldRequests {
    private final Map<String, WaitingRequest> requests = new LinkedHashMap<>();
    private OptionalLong stallEndNanos = OptionalLong.empty();
    private boolean wasLong;
    private long stallStartNanos;

    void stallEnded(StallDetector.Stall stall, long nowNanos) {
        boolean settling = isSettling(nowNanos);
        wasLong = stall.isLong() || (settling && wasLong);
        stallStartNanos = settling ? stallStartNanos : nowNanos - stall.missedNanos() - stall.lostNanos();
        stallEndNanos = OptionalLong.of(nowNanos);
    }

    private boolean isSettling(long nowNanos) {
        return stallEndNanos.isPresent() && nowNanos - stallEndNanos.getAsLong() < DispatchTimings.STALL_SETTLE_NANOS;
    }

    /** Returns whether requests have to be held because a long stall has just ended. */
    boolean isHolding(long nowNanos) {
        return wasLong && isSettling(nowNanos);
    }

    /**
     * Returns a request that was read at a time; right after a stall it may have been sent at any time since that began.
     */
    WaitingRequest read(JobRequest request, long readNanos, long nowNanos) {
        if (isSettling(nowNanos)) {
            long submittedNanos = Math.min(stallStartNanos, readNanos);
            return new WaitingRequest(request, readNanos, submittedNanos, RequiredKnowledge.ofLateRequest(nowNanos));
        }
        boolean isLate = nowNanos - readNanos > DispatchTimings.LATE_DECISION_NANOS;
        RequiredKnowledge required =
                isLate ? RequiredKnowledge.ofLateRequest(nowNanos) : RequiredKnowledge.ofRequest(readNanos);
        return new WaitingRequest(request, readNanos, readNanos, required);
    }

    /** Holds a request. */
    void hold(WaitingRequest request) {
        requests.put(request.request().id(), request);
    }

    boolean contains(String job) {
        return requests.containsKey(job);
    }

    /** Returns the jobs of the requests that meet a condition. */
    List<String> matching(Predicate<WaitingRequest> condition) {
        return requests.values().stream()
                .filter(condition)
                .map(waiting -> waiting.request().id())
                .toList();
    }

    /** Returns the number of tasks of all requests. */
    long taskCount() {
        return requests.values().stream()
                .mapToLong(waiting -> waiting.request().taskCount())
                .sum();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Drops a request; returns false if there is none. */
    boolean remove(String job) {
        return requests.remove(job) != null;
    }

    /** Removes and returns all requests. */
    List<WaitingRequest> release() {
        List<WaitingRequest> released = List.copyOf(requests.values());
        requests.clear();
        return released;
    }
}
