package org.knapweedmount.daemon.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLog;

/**
 * Logs at intervals how much processor time the process has used, how long an event has waited for its decision at most,
 * and which messages were exchanged since the last line.
 */
public final class ProcessLoadLog {
    /** The interval between two lines, in ms. */
    public static final int INTERVAL_MILLIS = 1_000;

    private final DecisionLog log;
    private final LinkTable<?> links;
    private final LongSupplier longestWaitNanos;
    private Load last = new Load(0, Map.of(), Map.of());

    /**
     * What a process has done since its start.
     *
     * @param processorMillis its processor time, in ms
     * @param sent the messages that it has sent, by type
     * @param received the messages that it has received, by type
     */
    record Load(long processorMillis, Map<String, Long> sent, Map<String, Long> received) {
        /** Returns what was done since an earlier load, for the log. */
        String describeSince(Load earlier) {
            return "processor-millis=" + (processorMillis - earlier.processorMillis) + " sent="
                    + increase(earlier.sent, sent) + " received=" + increase(earlier.received, received);
        }

        private static Map<String, Long> increase(Map<String, Long> from, Map<String, Long> to) {
            Map<String, Long> increase = new TreeMap<>();
            to.forEach((type, count) -> {
                long added = count - from.getOrDefault(type, 0L);
                if (added > 0) {
                    increase.put(type, added);
                }
            });
            return increase;
        }
    }

    /**
     * Creates a log without lines.
     *
     * @param log the decision log that receives the lines
     * @param links the links whose messages are counted
     * @param longestWaitNanos returns how long an event has waited at most since it was last asked, in ns
     */
    public ProcessLoadLog(DecisionLog log, LinkTable<?> links, LongSupplier longestWaitNanos) {
        this.log = log;
        this.links = links;
        this.longestWaitNanos = longestWaitNanos;
    }

    /**
     * Writes a line; called on the decision thread.
     *
     * @param nowNanos the current time, in ns
     */
    public void write(long nowNanos) {
        Load present = new Load(
                ProcessorTime.millis(),
                links.sentMessages().byType(),
                links.receivedMessages().byType());
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(longestWaitNanos.getAsLong());
        log.logEvent("process-load", "wait-millis=" + waitMillis + " " + present.describeSince(last), nowNanos);
        last = present;
    }
}
