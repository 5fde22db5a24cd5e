package org.knapweedmount.standins.executor;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import org.knapweedmount.standins.executor.EndpointCounts.TaskOutcome;

/**
 * Simulates the tasks of one endpoint by delaying each response for the run time of the task.
 *
 * <p>Every task is started, even if the slots or resources of the endpoint are exhausted. Must be called on the event
 * loop of the endpoint.
 */
final class TaskRunner {
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int STOPPED_STATUS = 409;

    private final String endpointId;
    private final int extraDelayMicros;
    private final ProcessContext process;
    private final Context context;
    private final EndpointCounts counts = new EndpointCounts();
    private final Map<Long, ScheduledTask> running = new HashMap<>();
    private long lastStartNumber;

    private record ScheduledTask(RunningTask task, Optional<Future<?>> endTimer) {}

    TaskRunner(EndpointSpec spec, ProcessContext process, Context context) {
        this.endpointId = spec.id();
        this.extraDelayMicros = spec.extraDelayMicros();
        this.process = process;
        this.context = context;
    }

    void start(RunningTask task, ExecutorControl control) {
        boolean first = process.startedTasks().add(task.taskId());
        process.startLog().append(System.currentTimeMillis(), endpointId, task.taskId(), first);
        counts.recordStart(task.parameters().use(), !first);
        long number = ++lastStartNumber;
        running.put(number, new ScheduledTask(task, scheduleEnd(number, task, control)));
    }

    private Optional<Future<?>> scheduleEnd(long number, RunningTask task, ExecutorControl control) {
        if (!control.mode().endsTasks()) {
            return Optional.empty();
        }
        long delayMicros = control.runMicros(task.parameters().runMicros()) + extraDelayMicros;
        int status = control.mode().responseStatus();
        Runnable end = () -> context.runOnContext(ignored -> end(number, status));
        return Optional.of(process.timer().schedule(end, delayMicros, TimeUnit.MICROSECONDS));
    }

    private void end(long number, int status) {
        ScheduledTask scheduled = running.remove(number);
        if (scheduled == null) {
            return;
        }
        RunningTask task = scheduled.task;
        counts.recordEnd(
                task.parameters().use(), status < FIRST_ERROR_STATUS ? TaskOutcome.COMPLETED : TaskOutcome.FAILED);
        task.respond(status);
    }

    /** Stops a task; returns false if it is not running. */
    boolean stop(String taskId) {
        List<Long> numbers = running.entrySet().stream()
                .filter(entry -> entry.getValue().task.taskId().equals(taskId))
                .map(Map.Entry::getKey)
                .toList();
        for (long number : numbers) {
            ScheduledTask scheduled = running.remove(number);
            scheduled.endTimer.ifPresent(end -> end.cancel(false));
            counts.recordEnd(scheduled.task.parameters().use(), TaskOutcome.STOPPED);
            scheduled.task.respond(STOPPED_STATUS);
        }
        return !numbers.isEmpty();
    }

    EndpointCounts.Snapshot counts() {
        return counts.snapshot();
    }
}
