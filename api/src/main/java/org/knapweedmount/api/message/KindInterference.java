package org.knapweedmount.api.message;

/**
 * An estimate of how much longer tasks of one kind run beside tasks of another kind on the same worker.
 *
 * @param kind the kind of the tasks that run longer, the name of their queue
 * @param neighbour the kind of the tasks beside them
 * @param slowdownPercent the run time beside them, in percent of the run time without them
 * @param samples the number of observed durations behind the estimate
 * @param kindRuns the runs of the slowed kind on the worker at the time of the report
 * @param neighbourRuns the runs of the other kind on the worker at the time of the report
 */
public record KindInterference(
        String kind, String neighbour, int slowdownPercent, int samples, int kindRuns, int neighbourRuns) {}
