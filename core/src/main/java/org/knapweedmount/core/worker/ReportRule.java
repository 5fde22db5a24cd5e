package org.knapweedmount.core.worker;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.WorkerReport;

/**
 * Decides which changes of a worker's capacity and slowdown are reported to entries at once.
 *
 * <p>Load pattern: many short runs start and end, and each changes the free capacity a little. Entries with a queue are
 * offered the capacity anyway, and an order that does not fit is refused within a round trip. So only large changes of
 * capacity or slowdown, and the worker starting or ceasing to accept runs, are worth a message.
 */
final class ReportRule {
    /** A change of at least 1 / this number of the worker's cores is reported at once. */
    private static final int CAPACITY_CHANGE_DIVISOR = 4;

    /** The factor by which the slowdown has to change to be reported at once; single runs vary by as much. */
    private static final double SLOWDOWN_CHANGE_FACTOR = 1.4;

    private ReportRule() {}

    /**
     * The state of a worker as reported to entries.
     *
     * @param acceptsStarts true if the worker accepts starts
     * @param free the free capacity
     * @param capacity the total capacity
     * @param slowdownPercent the ratio of actual to expected run times, in percent
     */
    record View(boolean acceptsStarts, Resources free, Resources capacity, int slowdownPercent) {
        static final View NONE = new View(false, Resources.NONE, Resources.NONE, 100);

        /** Returns the state that a report tells. */
        static View of(WorkerReport report) {
            return new View(report.acceptsStarts(), report.free(), report.capacity(), report.slowdownPercent());
        }
    }

    /**
     * Returns whether an entry is told of a change at once.
     *
     * @param reported the state that the entry was told last
     * @param prompt whether the entry prefers the worker; any other one is only told that it begins or ceases to accept starts
     */
    static boolean isWorthReporting(View reported, View current, boolean prompt) {
        return reported.acceptsStarts() != current.acceptsStarts() || (prompt && isLarge(reported, current));
    }

    private static boolean isLarge(View reported, View current) {
        int change = Math.abs(reported.free().milliCores() - current.free().milliCores());
        boolean capacityChanged =
                change * CAPACITY_CHANGE_DIVISOR >= current.capacity().milliCores() && change > 0;
        boolean slowdownChanged = current.slowdownPercent() > SLOWDOWN_CHANGE_FACTOR * reported.slowdownPercent()
                || reported.slowdownPercent() > SLOWDOWN_CHANGE_FACTOR * current.slowdownPercent();
        return capacityChanged || slowdownChanged;
    }
}
