package org.knapweedmount.standins.executor;

import java.util.concurrent.ScheduledExecutorService;

/**
 * What the endpoints of one process share.
 *
 * @param startedTasks the tasks started by any of them
 * @param startLog where starts are written
 * @param timer the thread that ends tasks, more exact than the timers of the event loop
 */
public record ProcessContext(StartedTasks startedTasks, StartLog startLog, ScheduledExecutorService timer) {}
