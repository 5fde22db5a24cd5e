package org.knapweedmount.standins.load;

import java.util.concurrent.TimeUnit;

/**
 * A request that was sent, with the statistics that record its result.
 *
 * @param request the request that was sent
 * @param flowStats the statistics of the flow of the request
 * @param recorded true if the request is recorded, false if it was sent during the warm-up
 * @param intendedNanos the intended send time, as a value of {@link System#nanoTime}
 */
record SentRequest(PlannedRequest request, FlowStats flowStats, boolean recorded, long intendedNanos) {
    /** Counts the request as sent. */
    void recordSent() {
        if (recorded) {
            flowStats.recordSent();
        }
    }

    /** Records the result of the request and appends it to the trace. */
    void recordResult(RequestResult result, long nowNanos, TraceLog trace) {
        if (!recorded) {
            return;
        }
        long responseMicros = TimeUnit.NANOSECONDS.toMicros(nowNanos - intendedNanos);
        flowStats.recordResult(result, responseMicros, request.longestRunMicros());
        trace.append(request, responseMicros, result);
    }

    /** Records the results of the request and of its resubmission. */
    void recordResubmission(RequestResult first, RequestResult second) {
        if (recorded) {
            flowStats.recordResubmission(first.outcome(), second.outcome());
        }
    }
}
