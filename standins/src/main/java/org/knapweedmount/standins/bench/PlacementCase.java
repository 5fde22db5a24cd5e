package org.knapweedmount.standins.bench;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.message.KindInterference;
import org.knapweedmount.api.message.WorkerCondition;

/** What differs between the workers of a measurement of placement. */
enum PlacementCase {
    /** All workers are alike. */
    ALIKE {
        @Override
        int slowdownPercent(int worker) {
            return NORMAL_PERCENT;
        }
    },
    /** Each third worker is 2.4 times as fast as the others. */
    SPEEDS,
    /** The workers differ in speed, and a pair of kinds counts. */
    PAIR {
        @Override
        WorkerCondition condition() {
            return WorkerCondition.NORMAL.withInterference(
                    List.of(new KindInterference(PlacementModel.QUEUE.name(), "other", 150, 500, 0, 1)));
        }
    },
    /** The workers differ in speed, and the data of all tasks is on one rack of eight. */
    DATA {
        @Override
        Optional<String> affinity() {
            return Optional.of("rack-0");
        }
    };

    private static final int NORMAL_PERCENT = 100;
    private static final int FAST_PERCENT = 41;

    /** Returns the slowdown that the agent of a worker reports, in percent. */
    int slowdownPercent(int worker) {
        return worker % 3 == 2 ? FAST_PERCENT : NORMAL_PERCENT;
    }

    /** Returns the condition that agents report. */
    WorkerCondition condition() {
        return WorkerCondition.NORMAL;
    }

    /** Returns the label of the rack with the data of the tasks. */
    Optional<String> affinity() {
        return Optional.empty();
    }
}
