package org.knapweedmount.standins.load;

import java.util.concurrent.TimeUnit;

/**
 * A request that was sent, and where its end is counted.
 *
 * @param request the request
 * @param flow the counts of its flow
 * @param recorded whether it counts, since it came after the warm-up
 * @param intendedNanos when it was meant to be sent, as a time of {@link System#nanoTime}
 */
record SentRequest(PlannedRequest request, FlowStats flow, boolean recorded, long intendedNanos) {
    /** Counts the request. */
    void begin() {
        if (recorded) {
            flow.sent();
        }
    }

    /** Counts how the request ended and adds it to the trace. */
    void end(Answer answer, long nowNanos, TraceLog trace) {
        if (!recorded) {
            return;
        }
        long responseMicros = TimeUnit.NANOSECONDS.toMicros(nowNanos - intendedNanos);
        flow.ended(answer, responseMicros, request.longestRunMicros());
        trace.append(request, responseMicros, answer);
    }

    /** Compares the answers to the request and to its resubmission. */
    void resubmitted(Answer first, Answer second) {
        if (recorded) {
            flow.resubmitted(first.ending(), second.ending());
        }
    }
}
