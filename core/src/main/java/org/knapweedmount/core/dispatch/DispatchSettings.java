package org.knapweedmount.core.dispatch;

/**
 * What the operator sets for the admission of jobs and the placement of runs.
 *
 * @param remoteDataFactor how many times as long a run takes on a rack that does not hold its data, at least 1
 * @param maxJobTasks the largest number of tasks of a job
 * @param maxHeldTasks the largest number of tasks of all jobs that an entry holds
 */
public record DispatchSettings(double remoteDataFactor, int maxJobTasks, int maxHeldTasks) {
    /** The settings of a site where the place of the data makes no known difference. */
    public static final DispatchSettings DEFAULT = new DispatchSettings(1);

    private static final int DEFAULT_MAX_JOB_TASKS = 2_000;
    private static final int DEFAULT_MAX_HELD_TASKS = 50_000;

    /** Checks the factor. */
    public DispatchSettings {
        if (!(remoteDataFactor >= 1) || Double.isInfinite(remoteDataFactor)) {
            throw new IllegalArgumentException(
                    "remoteDataFactor must be a finite number of at least 1, got " + remoteDataFactor);
        }
    }

    /**
     * Creates settings with the default limits on tasks.
     *
     * @param remoteDataFactor how many times as long a run takes on a rack that does not hold its data, at least 1
     */
    public DispatchSettings(double remoteDataFactor) {
        this(remoteDataFactor, DEFAULT_MAX_JOB_TASKS, DEFAULT_MAX_HELD_TASKS);
    }
}
