package org.knapweedmount.core.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.WorkerReport;

/**
 * Detects that this entry stood still: for so long that its peers have closed their links to it and its leases have
 * ended, or that requests which it reads then may have been submitted to another entry in the meantime.
 *
 * <p>If the entry's clock went on, ticks are missing. If its VM was suspended, the clock lost that time, and the
 * timestamps of agents are further ahead of it than before. The difference between a timestamp and the time of its
 * receipt has no meaning in itself; delays lower it, and it rises only by clock drift unless the entry's clock lost time.
 */
final class StallDetector {
    /** The part of the elapsed time by which two clocks may drift apart. */
    private static final double MAX_CLOCK_DRIFT = 0.02;

    /** How long an agent that sends no reports is remembered, in ns; longer than the loss of a link. */
    private static final long AGENT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** For how long the reports of agents show a loss of the clock. */
    private static final long LOSS_VISIBLE_NANOS = AgentClock.PERIODS * DispatchTimings.LINK_TIMEOUT_NANOS;

    private final Map<Incarnation, AgentClock> agentClocks = new HashMap<>();
    private OptionalLong lastActiveNanos = OptionalLong.empty();
    private OptionalLong lossNanos = OptionalLong.empty();

    /**
     * A time for which the entry stood still.
     *
     * @param missedNanos the time without a tick by the entry's clock, in ns
     * @param lostNanos the time that the entry's clock lost at least, in ns
     */
    record Stall(long missedNanos, long lostNanos) {
        /** Returns whether peers have closed their links to this entry and its leases have ended. */
        boolean endedLinks() {
            return missedNanos + lostNanos > DispatchTimings.LINK_TIMEOUT_NANOS;
        }

        /** Returns whether requests that are read now may have been submitted to another entry meanwhile. */
        boolean isLong() {
            return missedNanos + lostNanos > DispatchTimings.LATE_READ_NANOS;
        }

        /** Returns the times in ms for the log. */
        String description() {
            return "missed=" + TimeUnit.NANOSECONDS.toMillis(missedNanos) + " lost="
                    + TimeUnit.NANOSECONDS.toMillis(lostNanos);
        }
    }

    /** Checks for a stall before an event is handled. */
    Optional<Stall> eventReceived(long nowNanos) {
        return check(0, nowNanos);
    }

    /** Checks for a stall before a message is handled; the report of an agent shows what the clock has lost. */
    Optional<Stall> messageReceived(Incarnation from, Message message, long nowNanos) {
        return message instanceof WorkerReport report
                ? check(lostNanos(from, report, nowNanos), nowNanos)
                : eventReceived(nowNanos);
    }

    private long lostNanos(Incarnation agent, WorkerReport report, long nowNanos) {
        AgentClock clock = agentClocks.get(agent);
        if (clock == null || !clock.worker.equals(report.worker())) {
            clock = new AgentClock(report.worker(), report.timestampNanos() - nowNanos, nowNanos);
            agentClocks.put(agent, clock);
        }
        return Math.max(0, clock.lostNanos(report.timestampNanos(), nowNanos));
    }

    /** Checks for a stall before a tick is handled, and counts the time without a tick from now on. */
    Optional<Stall> ticked(long nowNanos) {
        Optional<Stall> stall = check(0, nowNanos);
        lastActiveNanos = OptionalLong.of(nowNanos);
        agentClocks.values().removeIf(clock -> nowNanos - clock.lastReportNanos > AGENT_EXPIRY_NANOS);
        return stall;
    }

    private Optional<Stall> check(long lostNanos, long nowNanos) {
        long missedNanos = nowNanos - lastActiveNanos.orElse(nowNanos);
        Stall stall = new Stall(missedNanos, lostNanos);
        if (stall.endedLinks()) {
            lastActiveNanos = OptionalLong.of(nowNanos);
            agentClocks.values().forEach(clock -> clock.lossHandled(lostNanos));
            return Optional.of(stall);
        }
        if (missedNanos > DispatchTimings.PAUSE_NANOS) {
            lastActiveNanos = OptionalLong.of(nowNanos);
            return Optional.of(stall);
        }
        if (lostNanos > DispatchTimings.LATE_READ_NANOS && !isKnownLoss(nowNanos)) {
            lossNanos = OptionalLong.of(nowNanos);
            return Optional.of(stall);
        }
        return Optional.empty();
    }

    /** Returns whether a loss of the clock was found a short time ago, which the reports of all agents show for a while. */
    private boolean isKnownLoss(long nowNanos) {
        return lossNanos.isPresent() && nowNanos - lossNanos.getAsLong() < LOSS_VISIBLE_NANOS;
    }

    /**
     * The clock of an agent as seen from this entry.
     *
     * <p>The highest offset of each period is kept. The newest periods are not compared with: reports that were buffered
     * during a suspension show it bit by bit.
     */
    private static final class AgentClock {
        private static final int PERIODS = 5;
        private static final int NEWEST_PERIODS = 2;

        private final String worker;
        private final long[] startNanos = new long[PERIODS];
        private final long[] maxOffsetNanos = new long[PERIODS];
        private long lastReportNanos;

        AgentClock(String worker, long offsetNanos, long nowNanos) {
            this.worker = worker;
            Arrays.fill(startNanos, nowNanos);
            Arrays.fill(maxOffsetNanos, offsetNanos);
        }

        /** Returns the time that the entry's clock has recently lost, in ns; 0 or less if none. */
        long lostNanos(long timestampNanos, long nowNanos) {
            long offsetNanos = timestampNanos - nowNanos;
            long driftNanos = (long) (MAX_CLOCK_DRIFT * (nowNanos - startNanos[PERIODS - 1]));
            long lostNanos = offsetNanos - earlierMaxNanos() - driftNanos;
            lastReportNanos = nowNanos;
            if (nowNanos - startNanos[0] > DispatchTimings.LINK_TIMEOUT_NANOS) {
                System.arraycopy(startNanos, 0, startNanos, 1, PERIODS - 1);
                System.arraycopy(maxOffsetNanos, 0, maxOffsetNanos, 1, PERIODS - 1);
                startNanos[0] = nowNanos;
                maxOffsetNanos[0] = offsetNanos;
            }
            maxOffsetNanos[0] = Math.max(maxOffsetNanos[0], offsetNanos);
            return lostNanos;
        }

        private long earlierMaxNanos() {
            return Arrays.stream(maxOffsetNanos, NEWEST_PERIODS, PERIODS).max().orElseThrow();
        }

        /** Allows for a loss that the reports of an agent have shown. */
        private void lossHandled(long lostNanos) {
            Arrays.fill(maxOffsetNanos, earlierMaxNanos() + lostNanos);
        }
    }
}
