package org.knapweedmount.standins.executor;

import java.util.concurrent.ScheduledExecutorService;

/**
 * The state shared by the endpoints of one process.
 *
 * @param startedTasks the IDs of the tasks that any of the endpoints has started
 * @param startLog the log of task starts
 * @param timer the timer that ends tasks; it is more accurate than the timers of the event loop
 */
public record ProcessContext(StartedTasks startedTasks, StartLog startLog, ScheduledExecutorService timer) {}
