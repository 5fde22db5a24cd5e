package org.knapweedmount.core.dispatch;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.core.worker.WorkerTimings;

/**
 * The workers that a run of a task is offered first; another sample for each run, without any state.
 *
 * @param seed what the sample is drawn from
 * @param parts the number of parts into which the workers are divided; the sample is one of them
 */
record WorkerSample(int seed, int parts) {
    /** The sample of all workers. */
    static final WorkerSample ALL = new WorkerSample(0, 1);

    /** The number of parts where each worker is preferred by some of the entries only. */
    private static final int PARTS = 3;

    private static final int MIX = 0x9E3779B9;

    /**
     * Returns the sample for the next run of a task; all workers if there are so few entries that each prefers them all.
     *
     * @param entries the number of entries that order runs from the same workers
     */
    static WorkerSample of(TrackedTask task, int entries) {
        return entries > WorkerTimings.MAX_PROMPT_ENTRIES
                ? new WorkerSample(task.ref().hashCode(), PARTS)
                : ALL;
    }

    boolean hasAll() {
        return parts == 1;
    }

    boolean contains(Incarnation agent) {
        if (hasAll()) {
            return true;
        }
        int mixed = (31 * seed + agent.hashCode()) * MIX;
        mixed = (mixed ^ mixed >>> 16) * MIX;
        return Math.floorMod(mixed ^ mixed >>> 15, parts) == 0;
    }
}
