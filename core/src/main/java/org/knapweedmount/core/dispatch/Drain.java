package org.knapweedmount.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The planned stop of an entry, as far as its jobs are concerned.
 *
 * <p>Load pattern: all entries are stopped one shortly after another, and callers send requests to stopping ones because
 * there are no others. A job is admitted only if its deadline is before the end of the drain, until when it may run if its
 * worker is slow; any other one is refused at once instead of being given up at the end.
 */
final class Drain {
    /** When the caller of a refused job may retry, in ms; another entry may have started by then. */
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private OptionalLong endNanos = OptionalLong.empty();
    private boolean ended;

    /** Begins the drain, which will end at a time. */
    void begin(long plannedEndNanos) {
        endNanos = OptionalLong.of(plannedEndNanos);
    }

    /** Ends the drain: from now on, everything is answered at once. */
    void end() {
        ended = true;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns the answer to a job that need not be over before the drain ends, empty for any other. */
    Optional<JobResult> refusal(JobRequest request) {
        boolean outlasts = endNanos.isPresent() && request.deadlineNanos() - endNanos.getAsLong() > 0;
        return outlasts ? Optional.of(notRun()) : Optional.empty();
    }

    /** Returns whether a request that will be refused has waited long enough for what lets it be said not to have run. */
    boolean hasWaitedTooLong(WaitingRequest waiting, long nowNanos) {
        return refusal(waiting.request()).isPresent()
                && nowNanos - waiting.readNanos() > DispatchTimings.MAX_REFUSAL_WAIT_NANOS;
    }

    /** Returns the answer to a request of which no run was ordered anywhere. */
    static JobResult notRun() {
        return JobResult.notRun("leaving", RETRY_AFTER_MILLIS);
    }
}
