package org.knapweedmount.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * The decisions about one job, kept in memory and logged as event {@code job-trail} only if the job misses its
 * target or is not completed.
 *
 * <p>Logging every decision would exceed the log's capacity under load; jobs that callers complain about are few.
 */
final class JobHistory {
    private static final int MAX_LENGTH_CHARS = 900; // about twenty decisions

    private final StringBuilder text = new StringBuilder();
    private final long startNanos;
    private int omittedCount;

    JobHistory(long startNanos) {
        this.startNanos = startNanos;
    }

    void add(String decision, long nowNanos) {
        if (text.length() + decision.length() > MAX_LENGTH_CHARS) {
            omittedCount++;
            return;
        }
        text.append(text.length() == 0 ? "" : "; ")
                .append(TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos))
                .append("ms ")
                .append(decision);
    }

    /** Returns the decisions in order, each with the time since the arrival of the job. */
    @Override
    public String toString() {
        return omittedCount == 0 ? text.toString() : text + "; " + omittedCount + " more";
    }
}
