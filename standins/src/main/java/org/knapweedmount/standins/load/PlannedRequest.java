package org.knapweedmount.standins.load;

import java.util.List;
import java.util.OptionalLong;

/**
 * A request of the load before it is sent.
 *
 * @param flow the flow that it belongs to
 * @param number its position in the load, from 1
 * @param arrivalMicros when it is to be sent, in µs after the start of the load
 * @param tasks its tasks
 * @param resubmitAfterMicros how long afterwards it is sent again through another entry, in µs; empty if it is not
 */
record PlannedRequest(
        LoadFlow flow, long number, long arrivalMicros, List<PlannedTask> tasks, OptionalLong resubmitAfterMicros) {
    PlannedRequest {
        tasks = List.copyOf(tasks);
    }

    /** Returns the body of a task, by which its answer is recognised. */
    String body(int index) {
        return flow.name() + " " + number + " " + index;
    }

    /** Returns the run time of the longest task, in µs. */
    long longestRunMicros() {
        return tasks.stream().mapToLong(PlannedTask::runMicros).max().orElseThrow();
    }
}
