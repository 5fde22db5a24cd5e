package org.knapweedmount.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.core.metric.MillisHistogram;

/** The waits of requests before their jobs are admitted, for the log and the metrics; decides nothing. */
final class AdmissionWaits {
    /** How many waits are followed; beyond that the oldest one is forgotten. */
    private static final int MAX_FOLLOWED_WAITS = 16_384;

    /** The upper bounds of the buckets, in ms; from a message between entries to the longest leases of one that is lost. */
    private static final List<Integer> BOUNDS_MILLIS =
            List.of(5, 10, 25, 50, 75, 100, 150, 200, 300, 500, 800, 1_200, 1_600, 3_200);

    private final MillisHistogram<WaitReason> latencies = new MillisHistogram<>(WaitReason.class, BOUNDS_MILLIS);
    private final Map<String, Begun> begun = new LinkedHashMap<>();
    private Optional<Ended> lastEnded = Optional.empty();

    private record Begun(WaitReason reason, long nanos) {}

    /**
     * A wait that has ended.
     *
     * @param job the job's ID
     * @param reason what the request waited for
     * @param millis how long it waited, in ms
     */
    record Ended(String job, WaitReason reason, long millis) {}

    /** Returns how long requests waited whose jobs were admitted; any thread may read it. */
    MillisHistogram<WaitReason> latencies() {
        return latencies;
    }

    /** Records that a request waits; a wait that has begun goes on. */
    void begin(String job, WaitReason reason, long nowNanos) {
        begun.putIfAbsent(job, new Begun(reason, nowNanos));
        if (begun.size() > MAX_FOLLOWED_WAITS) {
            begun.remove(begun.keySet().iterator().next());
        }
    }

    /** Ends the wait of a request for any reason; empty if it is not followed. */
    Optional<Ended> end(String job, long nowNanos) {
        Optional<Ended> ended = Optional.ofNullable(begun.remove(job))
                .map(wait -> new Ended(job, wait.reason(), TimeUnit.NANOSECONDS.toMillis(nowNanos - wait.nanos())));
        lastEnded = ended.or(() -> lastEnded);
        return ended;
    }

    /**
     * Records that a request is examined: a hold of all requests ends, and a wait that ended before belongs to an earlier
     * request.
     */
    Optional<Ended> submitted(String job, long nowNanos) {
        lastEnded = Optional.empty();
        Begun wait = begun.get(job);
        if (wait == null || !wait.reason().holdsAllRequests()) {
            return Optional.empty();
        }
        Optional<Ended> ended = end(job, nowNanos);
        ended.ifPresent(held -> latencies.record(held.reason(), held.millis()));
        return ended;
    }

    /** Records the wait that has ended last, if it was the one of a job that is admitted now, and returns it. */
    Optional<Ended> admitted(String job) {
        Optional<Ended> ended = lastEnded.filter(wait -> wait.job().equals(job));
        lastEnded = Optional.empty();
        ended.filter(wait -> !wait.reason().holdsAllRequests())
                .ifPresent(wait -> latencies.record(wait.reason(), wait.millis()));
        return ended;
    }
}
