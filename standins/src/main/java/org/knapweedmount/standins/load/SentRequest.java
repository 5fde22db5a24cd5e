package org.knapweedmount.standins.load;

import java.util.concurrent.TimeUnit;

/**
 * A request that was sent, and where its end is counted.
 *
 * @param request the request
 * @param flowStats the counts of its flow
 * @param recorded whether it counts, since it came after the warm-up
 * @param intendedNanos when it was meant to be sent, as a time of {@link System#nanoTime}
 */
record SentRequest(PlannedRequest request, FlowStats flowStats, boolean recorded, long intendedNanos) {
    /** Counts the request. */
    void recordSent() {
        if (recorded) {
            flowStats.recordSent();
        }
    }

    /** Counts how the request ended and adds it to the trace. */
    void recordResult(RequestResult result, long nowNanos, TraceLog trace) {
        if (!recorded) {
            return;
        }
        long responseMicros = TimeUnit.NANOSECONDS.toMicros(nowNanos - intendedNanos);
        flowStats.recordResult(result, responseMicros, request.longestRunMicros());
        trace.append(request, responseMicros, result);
    }

    /** Compares the answers to the request and to its resubmission. */
    void recordResubmission(RequestResult first, RequestResult second) {
        if (recorded) {
            flowStats.recordResubmission(first.outcome(), second.outcome());
        }
    }
}
