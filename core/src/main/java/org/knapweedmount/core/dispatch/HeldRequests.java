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
    private final Map<String, JobRequest> requests = new LinkedHashMap<>();
    private OptionalLong stallEndNanos = OptionalLong.empty();

    void stallEnded(long nowNanos) {
        stallEndNanos = OptionalLong.of(nowNanos);
    }

    /** Holds a request if a stall has just ended; returns false if the request needs not wait. */
    boolean hold(JobRequest request, long nowNanos) {
        boolean justEnded =
                stallEndNanos.isPresent() && nowNanos - stallEndNanos.getAsLong() < DispatchTimings.STALL_SETTLE_NANOS;
        if (justEnded) {
            requests.put(request.id(), request);
        }
        return justEnded;
    }

    /** Drops a request; returns false if there is none. */
    boolean remove(String job) {
        return requests.remove(job) != null;
    }

    /** Removes and returns the requests whose connections must have been found closed by now if they are. */
    List<JobRequest> release(long nowNanos) {
        if (requests.isEmpty() || nowNanos - stallEndNanos.orElseThrow() < DispatchTimings.STALL_SETTLE_NANOS) {
            return List.of();
        }
        List<JobRequest> released = List.copyOf(requests.values());
        requests.clear();
        return released;
    }
}
