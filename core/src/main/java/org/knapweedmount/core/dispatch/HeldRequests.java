package org.knapweedmount.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The requests that were read right after a stall.
 *
 * <p>Their callers may have closed the connections meanwhile and submitted the jobs elsewhere; the end of a connection is
 * read after the request.
 */
final class HeldRequests {
    private final Map<String, WaitingRequest> requests = new LinkedHashMap<>();
    private OptionalLong stallEndNanos = OptionalLong.empty();
    private long stallStartNanos;

    void stallEnded(StallDetector.Stall stall, long nowNanos) {
        stallStartNanos = nowNanos - stall.missedNanos() - stall.lostNanos();
        stallEndNanos = OptionalLong.of(nowNanos);
    }

    /** Returns whether requests have to be held because a stall has just ended. */
    boolean isHolding(long nowNanos) {
        return stallEndNanos.isPresent() && nowNanos - stallEndNanos.getAsLong() < DispatchTimings.STALL_SETTLE_NANOS;
    }

    /** Holds a request; it may have been sent at any time since the stall began and counts from there. */
    WaitingRequest hold(JobRequest request) {
        WaitingRequest held = new WaitingRequest(request, stallStartNanos);
        requests.put(request.id(), held);
        return held;
    }

    /** Drops a request; returns false if there is none. */
    boolean remove(String job) {
        return requests.remove(job) != null;
    }

    /** Removes and returns the requests whose connections must have been found closed by now if they are. */
    List<WaitingRequest> release(long nowNanos) {
        if (requests.isEmpty() || isHolding(nowNanos)) {
            return List.of();
        }
        List<WaitingRequest> released = List.copyOf(requests.values());
        requests.clear();
        return released;
    }
}
