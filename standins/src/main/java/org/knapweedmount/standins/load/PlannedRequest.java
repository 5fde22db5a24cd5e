package org.knapweedmount.standins.load;

import java.util.List;
import java.util.OptionalLong;

/**
 * A request of the load that has not been sent.
 *
 * @param flow the flow to which the request belongs
 * @param number the position in the load, starting at 1
 * @param arrivalMicros the intended send time, in µs after the start of the load
 * @param tasks the tasks of the request
 * @param resubmitAfterMicros the delay of the resubmission through another entry, in µs; empty if there is none
 */
record PlannedRequest(
        LoadFlow flow, long number, long arrivalMicros, List<PlannedTask> tasks, OptionalLong resubmitAfterMicros) {
    PlannedRequest {
        tasks = List.copyOf(tasks);
    }

    /** Returns the body of a task, which its response must echo. */
    String body(int index) {
        return flow.name() + " " + number + " " + index;
    }

    /** Returns the run time of the longest task, in µs. */
    long longestRunMicros() {
        return tasks.stream().mapToLong(PlannedTask::runMicros).max().orElseThrow();
    }
}
