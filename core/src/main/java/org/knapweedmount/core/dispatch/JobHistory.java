package org.knapweedmount.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * What was decided about one job, kept in memory and written only if the job goes wrong.
 *
 * <p>Under load the log has no room for every decision; those about the jobs that callers complain of are few.
 */
final class JobHistory {
    private static final int MAX_LENGTH_CHARS = 900; // some twenty decisions

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

    /** Returns the decisions in order, each with the time since the job arrived. */
    @Override
    public String toString() {
        return omittedCount == 0 ? text.toString() : text + "; " + omittedCount + " more";
    }
}
