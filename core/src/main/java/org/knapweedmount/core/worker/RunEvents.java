package org.knapweedmount.core.worker;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.core.metric.EventBatch;

/**
 * Logs the start and the end of each run of a worker, with all that tells whether two runs of a task overlapped.
 *
 * <p>Decides nothing. An end has the ms since the order, since the first confirmation and since the last sign of life.
 */
final class RunEvents {
    /** The interval between two lines about the worker's lease while it has runs, in ms. */
    private static final int LEASE_LINE_INTERVAL_MILLIS = 200;

    private final WorkerOutput output;
    private final EventBatch accepted;
    private final EventBatch released;
    private final EventBatch foreign;
    private final EventBatch stopped;
    private final Map<RunRef, RunTrace> traces = new HashMap<>();
    private long lastLeaseLineNanos;

    /**
     * The lease of the worker, by the worker's clock.
     *
     * @param worker the current incarnation
     * @param expiryMillis the latest expiry granted to it, in ms
     * @param clockMillis a time that the worker's clock has reached, in ms
     */
    record Lease(WorkerIncarnation worker, long expiryMillis, long clockMillis) {
        @Override
        public String toString() {
            return "granted=" + expiryMillis + " clock=" + clockMillis;
        }
    }

    /** What was observed of a run. */
    private static final class RunTrace {
        private final WorkerIncarnation worker;
        private final long orderedNanos;
        private boolean confirmed;
        private long confirmedNanos;
        private boolean listed;
        private long aliveNanos;

        private RunTrace(WorkerIncarnation worker, long nowNanos) {
            this.worker = worker;
            this.orderedNanos = nowNanos;
        }

        private void confirm(long nowNanos) {
            confirmedNanos = confirmed ? confirmedNanos : nowNanos;
            confirmed = true;
        }

        private void listed(long sentNanos) {
            aliveNanos = listed ? Math.max(aliveNanos, sentNanos) : sentNanos;
            listed = true;
        }

        private String describe(long nowNanos) {
            return "/" + WorkerTimings.millis(nowNanos - orderedNanos)
                    + "/" + (confirmed ? WorkerTimings.millis(nowNanos - confirmedNanos) : "-")
                    + "/" + (listed ? WorkerTimings.millis(nowNanos - aliveNanos) : "-");
        }
    }

    RunEvents(WorkerOutput output) {
        this.output = output;
        this.accepted = new EventBatch("runs-accepted", output::logEvent);
        this.released = new EventBatch("runs-released", output::logEvent);
        this.foreign = new EventBatch("runs-foreign", output::logEvent);
        this.stopped = new EventBatch("stops-received", output::logEvent);
    }

    /** Records an accepted order, with the age of its timestamp and the expiry that the start order carries. */
    void accepted(Incarnation entry, RunRef ref, long ageNanos, long expiryMillis, Lease lease, long nowNanos) {
        traces.put(ref, new RunTrace(lease.worker(), nowNanos));
        String detail = "worker=" + lease.worker() + " entry=" + entry + " age=" + WorkerTimings.millis(ageNanos)
                + " expiry=" + expiryMillis + " " + lease;
        accepted.add(detail, "runs", name(ref), nowNanos);
    }

    /** Records that the worker has confirmed the start of a run. */
    void confirmed(RunRef ref, long nowNanos) {
        RunTrace trace = traces.get(ref);
        if (trace != null) {
            trace.confirm(nowNanos);
        }
    }

    /** Records the runs of a list, and logs those that the agent does not hold. */
    void listed(RunList list, long acknowledgedEnd, long sentNanos, Lease lease, long nowNanos) {
        for (RunList.Running row : list.running()) {
            RunTrace trace = traces.get(row.ref());
            if (trace == null) {
                addForeign(row.ref(), "RUNNING", lease, nowNanos);
            } else {
                trace.confirm(nowNanos);
                trace.listed(sentNanos);
            }
        }
        for (RunList.Ended row : list.ended()) {
            if (row.number() > acknowledgedEnd && !traces.containsKey(row.ref())) {
                addForeign(row.ref(), row.outcome().name(), lease, nowNanos);
            }
        }
    }

    private void addForeign(RunRef ref, String state, Lease lease, long nowNanos) {
        output.count(RunCounter.FOREIGN);
        foreign.add("worker=" + lease.worker() + " state=" + state + " " + lease, "runs", name(ref), nowNanos);
    }

    /** Records a stop order of an entry; runs that the agent does not hold have ended or never reached it. */
    void stopReceived(Incarnation entry, List<RunRef> runs, long nowNanos) {
        runs.forEach(
                ref -> stopped.add("entry=" + entry + " held=" + traces.containsKey(ref), "runs", name(ref), nowNanos));
    }

    /** Records the end of a run and the evidence for it. */
    void released(TrackedRun run, RunOutcome outcome, RunEndEvidence evidence, Lease lease, long nowNanos) {
        switch (evidence) {
            case CLOCK -> output.count(RunCounter.LAPSED_BY_CLOCK);
            case NEW_INCARNATION -> output.count(RunCounter.ENDED_BY_NEW_INCARNATION);
            default -> {
                // The worker has told the end itself, or has left.
            }
        }
        RunTrace trace = traces.remove(run.ref());
        if (trace == null) {
            return;
        }
        String detail = "worker=" + trace.worker + " entry=" + run.entry() + " evidence=" + evidence + " outcome="
                + outcome + " " + lease;
        released.add(detail, "runs", name(run.ref()) + trace.describe(nowNanos), nowNanos);
    }

    /** Writes the collected lines, and the worker's lease from time to time while it has runs. */
    void flush(Lease lease, long nowNanos) {
        accepted.flush(nowNanos);
        released.flush(nowNanos);
        foreign.flush(nowNanos);
        stopped.flush(nowNanos);
        if (!traces.isEmpty() && nowNanos - lastLeaseLineNanos >= WorkerTimings.nanos(LEASE_LINE_INTERVAL_MILLIS)) {
            lastLeaseLineNanos = nowNanos;
            output.logEvent("worker-lease", "worker=" + lease.worker() + " " + lease + " runs=" + traces.size());
        }
    }

    /**
     * Logs that the fencing token was raised, for the first raise and then ever more rarely until a token is in place.
     *
     * @param earlierToken the token before, which the worker has refused if the reason is a refusal
     */
    void fenceRaised(WorkerIncarnation worker, String reason, long earlierToken, WorkerFence fence) {
        boolean powerOfTwo = Integer.bitCount(fence.raises()) == 1;
        if (powerOfTwo) {
            output.logEvent(
                    "fence-raised",
                    "worker=" + worker + " reason=" + reason + " earlier=" + earlierToken + " fence=" + fence.token()
                            + " raises=" + fence.raises());
        }
    }

    /** Logs that the worker has accepted the fencing token. */
    void fenceInPlace(WorkerIncarnation worker, WorkerFence fence) {
        output.logEvent("fence-in-place", "worker=" + worker + " fence=" + fence.token() + " raises=" + fence.raises());
    }

    /** Logs that the agent refuses an ordered run. */
    void orderRefused(RunRef ref, String reason, String load) {
        output.logEvent("run-refused", describe(ref) + " reason=" + reason + " " + load);
    }

    /** Logs that the worker has refused a run. */
    void startRefused(RunRef ref, StartReply reply, WorkerIncarnation worker) {
        output.logEvent("start-refused", describe(ref) + " reason=" + reply + " worker=" + worker);
    }

    /** Logs how much longer runs take than expected, in percent of the expected time. */
    void paceChanged(WorkerIncarnation worker, int percent, String load) {
        output.logEvent("worker-pace", "worker=" + worker + " percent=" + percent + " " + load);
    }

    /** Logs that a run makes no progress. */
    void stalled(TrackedRun run, WorkerIncarnation worker) {
        output.logEvent("run-stalled", describe(run.ref()) + " percent=" + run.percent() + " worker=" + worker);
    }

    /** Logs that a run is stopped because its worker leaves before it can end. */
    void stoppedBeforeDeparture(TrackedRun run, WorkerIncarnation worker) {
        output.count(RunCounter.STOPPED_BEFORE_DEPARTURE);
        output.logEvent("run-cannot-end", describe(run.ref()) + " percent=" + run.percent() + " worker=" + worker);
    }

    /** Logs that the worker does not answer. */
    void workerSilent(WorkerIncarnation worker) {
        output.logEvent("worker-silent", "worker=" + worker + " runs=" + traces.size());
    }

    static String describe(RunRef ref) {
        return "task=" + ref.task() + " run=" + ref.run();
    }

    private static String name(RunRef ref) {
        return ref.task() + "#" + ref.run();
    }
}
