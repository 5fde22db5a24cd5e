package org.knapweedmount.core.worker;

import org.knapweedmount.api.Resources;

/**
 * Decides which changes of a worker's room and pace the entries are told of at once.
 *
 * <p>Load pattern: many short runs start and end, each of which changes the room a little. Entries with a queue are
 * offered the room anyway, and an order that does not fit is refused within a round trip, so that only large changes and
 * the opening and closing of the worker are worth a message, and a pace that has changed much.
 */
final class ReportRule {
    /** The part of the worker's cores whose change is reported at once: one in this number. */
    private static final int CAPACITY_CHANGE_DIVISOR = 4;

    /** The factor by which the pace has to change to be reported at once; single runs are off by as much. */
    private static final double SLOWDOWN_CHANGE_FACTOR = 1.4;

    private ReportRule() {}

    /**
     * What entries are told of a worker.
     *
     * @param open true if the worker takes starts
     * @param free the free room
     * @param capacity all room
     * @param slowdown how much longer runs take than expected
     */
    record View(boolean open, Resources free, Resources capacity, double slowdown) {
        static final View NONE = new View(false, Resources.NONE, Resources.NONE, 1);
    }

    static boolean isWorthReporting(View reported, View current) {
        int change = Math.abs(reported.free().milliCores() - current.free().milliCores());
        boolean capacityChanged =
                change * CAPACITY_CHANGE_DIVISOR >= current.capacity().milliCores() && change > 0;
        boolean slowdownChanged = current.slowdown() > SLOWDOWN_CHANGE_FACTOR * reported.slowdown()
                || reported.slowdown() > SLOWDOWN_CHANGE_FACTOR * current.slowdown();
        return reported.open() != current.open() || capacityChanged || slowdownChanged;
    }
}
