package org.knapweedmount.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The waits of requests before their jobs are admitted, for the log and the metrics; decides nothing. */
final class AdmissionWaits {
    /** How many waits are followed; beyond that the oldest one is forgotten. */
    private static final int MAX_FOLLOWED_WAITS = 16_384;

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

    /** Ends the wait of a request if it is for a reason. */
    Optional<Ended> end(String job, WaitReason reason, long nowNanos) {
        Begun wait = begun.get(job);
        return wait != null && wait.reason() == reason ? end(job, nowNanos) : Optional.empty();
    }

    /** Removes and returns the wait that has ended last, if it was the one of a job that is admitted now. */
    Optional<Ended> removeLastEnded(String job) {
        Optional<Ended> ended = lastEnded.filter(wait -> wait.job().equals(job));
        lastEnded = Optional.empty();
        return ended;
    }
}
